#pragma once

#include "framework/types/timepoint.h"
#include "peers/internal/ipeerlinkowner.h"
#include "peers/internal/linkcandidate.h"
#include "peers/internal/peerlistener.h"
#include "peers/ipeernetwork.h"
#include "peers/types/peerlimits.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace lavendertally::framework {
class IClock;
class IEventLoop;
class ILogger;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::protocol {
class IPeerMessageCodec;
}

namespace lavendertally::peers {

class PeerLink;

/// Links over TCP. Each daemon pings the peers at the other end of its outbound links; a link on
/// which no answer arrives in time is lost, whatever the state of the connection.
class PeerNetwork final : public IPeerNetwork, public IPeerLinkOwner
{
public:
    PeerNetwork(framework::IEventLoop &loop, const framework::IClock &clock,
                framework::ILogger &logger, framework::DaemonId self, const PeerLimits &limits);
    ~PeerNetwork() override;
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    void addObserver(IPeerObserver &observer) override { m_observers.push_back(&observer); }
    void setAcceptsJobs(std::function<bool()> accepts) override;
    void setDigests(std::function<std::vector<protocol::TopicDigest>()> digests) override;
    void setCrashFingerprint(std::function<protocol::EvidenceFingerprint()> fingerprint) override;
    void setIsInformed(std::function<bool(const framework::DaemonId &)> isInformed) override;
    framework::Result<framework::Endpoint> listen(const framework::Endpoint &endpoint) override;
    void connectTo(const std::vector<DaemonAddress> &ranking) override;
    void connectToSeeds(const std::vector<framework::Endpoint> &seeds) override;
    std::vector<framework::DaemonId> linkedPeers() const override;
    std::vector<framework::DaemonId> crashReportTakers() const override;
    void setTakesRateLimits() override;
    void setTakesConnectionLeases() override;
    void setTakesRollouts() override { m_takesRollouts = true; }
    std::vector<framework::DaemonId> rateLimitTakers() const override;
    std::vector<framework::DaemonId> rolloutTakers() const override;
    std::vector<framework::DaemonId> connectionLeaseTakers() const override;
    bool isAccepting(const framework::DaemonId &peer) const override;
    bool isInStartupGrace(const framework::DaemonId &peer) const override;
    bool isUnreachable(const framework::DaemonId &peer) const override;
    bool isSelfAccepting() const override { return m_acceptsJobs(); }
    framework::TimePoint startTimeOf(const framework::DaemonId &peer) const override;
    void announce() override;
    bool send(const framework::DaemonId &peer, const protocol::PeerMessage &message) override;

    void onLinkConnected(PeerLink &link) override;
    void onLinkMessage(PeerLink &link, const protocol::PeerMessage &message) override;
    void onLinkClosed(PeerLink &link, const char *reason) override;

private:
    /// Link that this daemon maintains to a peer, also while it is not connected.
    struct OutboundLink
    {
        framework::Endpoint endpoint;
        std::unique_ptr<PeerLink> link;
        framework::TimePoint addedAt;
        framework::TimePoint nextAttempt;
        framework::TimePoint connectStarted;
        framework::TimePoint establishedAt;
        bool wasLost = false;
        /// Whether a pong arrived on the current connection.
        bool isEstablished = false;
        bool acceptsJobs = false;
        /// Newest fingerprint on the current connection; nothing if the peer takes no crash
        /// reports.
        std::optional<protocol::EvidenceFingerprint> crashFingerprint;
        bool takesRateLimits = false;
        bool takesConnectionLeases = false;
        bool takesRollouts = false;
        framework::TimePoint peerStartTime;
        framework::TimePoint neededAt;
    };

    std::vector<framework::DaemonId>
    takers(const std::function<bool(const OutboundLink &)> &isOutboundTaker,
           const std::function<bool(const PeerLink &)> &isInboundTaker) const;
    void onAccepted(int fd);
    void boundUnnamedLinks();
    void updateOutbound();
    std::vector<DaemonAddress> wantedPeers() const;
    LinkCandidate linkCandidate(const framework::DaemonId &daemon) const;
    bool isKept(const framework::DaemonId &peer, const OutboundLink &outbound,
                framework::TimePoint now) const;
    void tick();
    void maintain(const framework::DaemonId &peer, OutboundLink &outbound,
                  framework::TimePoint now);
    void handleOutboundFailure(const framework::DaemonId &peer, OutboundLink &outbound,
                               const char *reason);
    void closeIdleInbound(framework::TimePoint now);
    bool isSeed(const framework::DaemonId &peer) const;
    void onHello(PeerLink &link, const protocol::PeerHello &hello);
    void sendPong(PeerLink &link, std::optional<framework::TimePoint> pingSent) const;
    void onPong(const PeerLink &link, const protocol::PeerPong &pong);
    bool isOutbound(const PeerLink &link) const;
    void closeInbound(PeerLink &link);
    /// Deletes the link later from the event loop, as it may be running one of its callbacks.
    void discard(std::unique_ptr<PeerLink> link);

    framework::IEventLoop &m_loop;
    const framework::IClock &m_clock;
    framework::ILogger &m_logger;
    framework::DaemonId m_self;
    PeerLimits m_limits;
    std::unique_ptr<protocol::IPeerMessageCodec> m_codec;
    std::vector<IPeerObserver *> m_observers;
    std::function<bool()> m_acceptsJobs;
    std::function<std::vector<protocol::TopicDigest>()> m_digests;
    /// Empty if this daemon takes no crash reports.
    std::function<protocol::EvidenceFingerprint()> m_crashFingerprint;
    bool m_takesRateLimits = false;
    bool m_takesConnectionLeases = false;
    bool m_takesRollouts = false;
    std::function<bool(const framework::DaemonId &)> m_isInformed;
    PeerListener m_listener;
    framework::Endpoint m_endpoint;
    std::vector<DaemonAddress> m_ranking;
    std::vector<DaemonAddress> m_seeds;
    std::map<framework::DaemonId, OutboundLink> m_outbound;
    std::vector<std::unique_ptr<PeerLink>> m_inbound;
    std::vector<std::unique_ptr<PeerLink>> m_discarded;
    std::unique_ptr<framework::ITimer> m_tickTimer;
    std::unique_ptr<framework::ITimer> m_discardTimer;
    framework::TimePoint m_started;
};

} // namespace lavendertally::peers
