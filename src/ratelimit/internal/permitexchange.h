#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "peers/ipeerobserver.h"
#include "protocol/types/permitgrant.h"
#include "protocol/types/permitrequest.h"
#include "ratelimit/internal/permitissuer.h"
#include "ratelimit/iratelimitstore.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>

namespace lavendertally::framework {
class IClock;
class ILogger;
class IMetrics;
class IScheduler;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::peers {
class IDaemonDirectory;
class IPeerNetwork;
} // namespace lavendertally::peers

namespace lavendertally::ratelimit {

/// Gets permits from the daemon that issues them: the first of the leading daemons that takes
/// requests. It is told what backend servers say of their limits, and tells all others. A daemon
/// that reaches no issuer issues its own share to itself.
class PermitExchange final : public peers::IPeerObserver
{
public:
    PermitExchange(framework::DaemonId self, IRateLimitStore &store, peers::IPeerNetwork &network,
                   const peers::IDaemonDirectory &directory, framework::IScheduler &scheduler,
                   const framework::IClock &clock, framework::ILogger &logger,
                   framework::IMetrics &metrics);
    ~PermitExchange() override;
    PermitExchange(const PermitExchange &) = delete;
    PermitExchange &operator=(const PermitExchange &) = delete;

    void onMessage(const framework::DaemonId &peer, const protocol::PeerMessage &message) override;
    void onDigests(const framework::DaemonId &peer,
                   const std::vector<protocol::TopicDigest> &digests,
                   std::optional<framework::TimePoint> pingSent) override;
    void onCrashFingerprint(const framework::DaemonId &peer,
                            protocol::EvidenceFingerprint fingerprint) override;
    void onOutboundLinkLost(const framework::DaemonId &peer) override;
    void onInboundLinkClosed(const framework::DaemonId &peer) override;

private:
    struct PendingRequest
    {
        std::uint64_t sequence = 0;
        framework::TimePoint sent;
    };

    /// \return the daemon that issues permits; nothing if none can be reached
    std::optional<framework::DaemonId> issuer() const;
    void onLimitChanged(const protocol::ServerRateLimit &limit);
    void tellNews();
    /// Asks for the wanted permits, at once or after a pause since the last request.
    void ask();
    framework::Milliseconds askInterval() const;
    void send(const framework::DaemonId &issuer, IRateLimitStore::Permits wanted,
              bool wantsAllLimits);
    /// \param sharers number of daemons among which the rates are divided
    IRateLimitStore::Permits issue(const IRateLimitStore::Permits &wanted, std::size_t sharers);
    void onRequest(const framework::DaemonId &peer, const protocol::PermitRequest &request);
    void onGrant(const protocol::PermitGrant &grant);
    void planExpiry();

    framework::DaemonId m_self;
    IRateLimitStore &m_store;
    peers::IPeerNetwork &m_network;
    const peers::IDaemonDirectory &m_directory;
    framework::IScheduler &m_scheduler;
    const framework::IClock &m_clock;
    framework::ILogger &m_logger;
    framework::IMetrics &m_metrics;
    PermitIssuer m_issuer;
    /// Changes to tell, and who told them; nothing for own ones.
    std::map<framework::BackendServerId, std::optional<framework::DaemonId>> m_news;
    std::optional<framework::DaemonId> m_teller;
    std::unique_ptr<framework::ITimer> m_newsTimer;
    /// Issuer that has been told all limits, and has told its own.
    framework::DaemonId m_informedIssuer;
    framework::DaemonId m_loggedIssuer;
    std::optional<PendingRequest> m_pending;
    framework::TimePoint m_nextAsk;
    std::unique_ptr<framework::ITimer> m_askTimer;
    std::unique_ptr<framework::ITimer> m_expiryTimer;
    std::uint64_t m_lastSequence = 0;
};

} // namespace lavendertally::ratelimit
