#pragma once

#include "framework/result.h"
#include "framework/types/endpoint.h"
#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "peers/types/daemonaddress.h"
#include "protocol/types/peermessage.h"

#include <functional>
#include <vector>

namespace lavendertally::peers {

class IPeerObserver;

/// Links between daemons. Each daemon opens outbound links to the peers that it needs, and accepts
/// inbound links from others; messages can be sent on both.
class IPeerNetwork
{
public:
    virtual ~IPeerNetwork() = default;

    /// \param observer outlives the network
    virtual void addObserver(IPeerObserver &observer) = 0;

    /// \param accepts returns whether this daemon takes stage jobs; sent to the peers in each pong
    virtual void setAcceptsJobs(std::function<bool()> accepts) = 0;

    /// \param digests returns how recent this daemon's topics are; sent to the peers in each pong
    virtual void setDigests(std::function<std::vector<protocol::TopicDigest>()> digests) = 0;

    /// \param fingerprint returns what this daemon knows of crashes; sent to the peers in the first
    /// pong of a link and in those after a change. Set before listen() by a daemon that takes crash
    /// reports
    virtual void
    setCrashFingerprint(std::function<protocol::EvidenceFingerprint()> fingerprint) = 0;

    /// Makes this daemon announce that it takes rate limits and permits. Called before listen().
    virtual void setTakesRateLimits() = 0;

    /// Makes this daemon announce that it takes requests for connection leases and their grants.
    /// Called before listen().
    virtual void setTakesConnectionLeases() = 0;

    /// Makes this daemon announce that it takes reports and steps of rollouts. Called before
    /// listen().
    virtual void setTakesRollouts() = 0;

    /// \param isInformed returns whether the state that a linked peer shares is recent. While no
    /// linked peer's is, links go further down the ranking
    virtual void setIsInformed(std::function<bool(const framework::DaemonId &)> isInformed) = 0;

    /// Accepts inbound links, and starts to maintain the outbound ones.
    /// \param endpoint port 0 binds a free port
    /// \return the endpoint with the port that was bound, or PeerError
    virtual framework::Result<framework::Endpoint> listen(const framework::Endpoint &endpoint) = 0;

    /// Maintains outbound links to the head of the ranking, down to the point where LeadingDaemons
    /// daemons can be reached and take stage jobs. This daemon counts as one that can be reached.
    virtual void connectTo(const std::vector<DaemonAddress> &ranking) = 0;

    /// Maintains outbound links to seed peers too, whose ids are not known. Replaces earlier seeds.
    virtual void connectToSeeds(const std::vector<framework::Endpoint> &seeds) = 0;

    /// \return the daemons to which outbound links are established, in a stable order; the id of a
    /// seed is its endpoint
    virtual std::vector<framework::DaemonId> linkedPeers() const = 0;

    /// \return the daemons at the other ends of outbound and inbound links that take crash reports;
    /// one that runs an older version would close the link on a report
    virtual std::vector<framework::DaemonId> crashReportTakers() const = 0;

    /// \return the daemons at the other ends of outbound and inbound links that take rate limits
    /// and permits; one that runs an older version would close the link on such a message
    virtual std::vector<framework::DaemonId> rateLimitTakers() const = 0;

    /// \return the daemons at the other ends of outbound and inbound links that take requests for
    /// connection leases; one that runs an older version would close the link on such a message
    virtual std::vector<framework::DaemonId> connectionLeaseTakers() const = 0;

    /// \return the daemons at the other ends of outbound and inbound links that take reports and
    /// steps of rollouts; one that runs an older version would close the link on such a message
    virtual std::vector<framework::DaemonId> rolloutTakers() const = 0;

    /// \return whether the outbound link to \p peer is established, has passed its probation if it
    /// was lost before, and the peer takes stage jobs
    virtual bool isAccepting(const framework::DaemonId &peer) const = 0;

    /// \return whether the outbound link to \p peer was added so recently that it cannot be told
    /// yet whether the peer is reachable
    virtual bool isInStartupGrace(const framework::DaemonId &peer) const = 0;

    /// \return whether this daemon maintains an outbound link to \p peer that has failed and is not
    /// established again
    virtual bool isUnreachable(const framework::DaemonId &peer) const = 0;

    /// \return whether this daemon takes stage jobs
    virtual bool isSelfAccepting() const = 0;

    /// \return start time of the daemon \p peer on this daemon's clock; TimePoint::never() if
    /// unknown
    virtual framework::TimePoint startTimeOf(const framework::DaemonId &peer) const = 0;

    /// Sends an unsolicited pong on all inbound links, so that the peers learn at once whether this
    /// daemon takes stage jobs and how recent its topics are.
    virtual void announce() = 0;

    /// Sends on the outbound link to \p peer if it is established, otherwise on the inbound link.
    /// \return false if there is neither
    virtual bool send(const framework::DaemonId &peer, const protocol::PeerMessage &message) = 0;
};

} // namespace lavendertally::peers
