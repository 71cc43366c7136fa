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

/// Links between daemons.
class IPeerNetwork
{
public:
    virtual ~IPeerNetwork() = default;

    /// \param observer outlives the network
    virtual void addObserver(IPeerObserver &observer) = 0;

    /// \param accepts tells other daemons whether this one takes stage jobs
    virtual void setAcceptsJobs(std::function<bool()> accepts) = 0;

    /// \param digests tells other daemons how fresh the topics are that this one knows
    virtual void setDigests(std::function<std::vector<protocol::TopicDigest>()> digests) = 0;

    /// \return the endpoint with its real port, or PeerError
    virtual framework::Result<framework::Endpoint> listen(const framework::Endpoint &endpoint) = 0;

    /// Keeps links to the first of these daemons, this one among them, so that LeadingDaemons of
    /// them can be reached.
    virtual void connectTo(const std::vector<DaemonAddress> &ranking) = 0;

    /// Keeps links to these daemons too, whose ids are not known.
    virtual void connectToSeeds(const std::vector<framework::Endpoint> &seeds) = 0;

    /// \return the daemons to which there are good links, in a stable order; seeds by their
    /// endpoints
    virtual std::vector<framework::DaemonId> linkedPeers() const = 0;

    /// \return whether the link to \p peer is good and the peer takes stage jobs
    virtual bool isAccepting(const framework::DaemonId &peer) const = 0;

    /// \return whether the link to \p peer is too young to tell whether the peer can be reached
    virtual bool isInStartupGrace(const framework::DaemonId &peer) const = 0;

    /// \return whether this daemon takes stage jobs
    virtual bool isSelfAccepting() const = 0;

    /// \return when \p peer started, on this daemon's clock; TimePoint::never() if it is not known
    virtual framework::TimePoint startTimeOf(const framework::DaemonId &peer) const = 0;

    /// Tells the peers at once whether this daemon takes stage jobs and how fresh its topics are.
    virtual void announce() = 0;

    /// Sends on the link to \p peer, or else on its link to this daemon.
    /// \return false if there is none
    virtual bool send(const framework::DaemonId &peer, const protocol::PeerMessage &message) = 0;
};

} // namespace lavendertally::peers
