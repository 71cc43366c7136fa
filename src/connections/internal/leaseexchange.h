#pragma once

#include "connections/ileasebook.h"
#include "connections/internal/leaselender.h"
#include "connections/types/connectionlimits.h"
#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "peers/ipeerobserver.h"
#include "protocol/types/connectionleases.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

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

namespace lavendertally::connections {

/// Borrows connections that this gateway wants beyond its share from one of the leading gateways,
/// and lends to others if it is one itself.
class LeaseExchange final : public peers::IPeerObserver
{
public:
    LeaseExchange(framework::DaemonId self, ILeaseBook &book, peers::IPeerNetwork &network,
                  const peers::IDaemonDirectory &directory, framework::IScheduler &scheduler,
                  const framework::IClock &clock, framework::ILogger &logger,
                  framework::IMetrics &metrics, const ConnectionLimits &limits);
    ~LeaseExchange() override;
    LeaseExchange(const LeaseExchange &) = delete;
    LeaseExchange &operator=(const LeaseExchange &) = delete;

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

    /// \return the leading gateway that lends to this one; nothing if none can be reached
    std::optional<framework::DaemonId> lender() const;
    /// Asks for what is wanted, at once or after a pause since the last request.
    void ask();
    void planAsk(framework::TimePoint at);
    void send(const framework::DaemonId &lender, std::vector<protocol::ConnectionLease> wishes);
    /// Lends to this gateway or another one.
    std::vector<protocol::ConnectionLease>
    lend(const framework::DaemonId &borrower, const std::vector<protocol::ConnectionLease> &wishes);
    void granted(const std::vector<protocol::ConnectionLease> &leases, framework::TimePoint asked);
    framework::Milliseconds askInterval() const;

    framework::DaemonId m_self;
    ILeaseBook &m_book;
    peers::IPeerNetwork &m_network;
    const peers::IDaemonDirectory &m_directory;
    framework::IScheduler &m_scheduler;
    const framework::IClock &m_clock;
    framework::ILogger &m_logger;
    framework::IMetrics &m_metrics;
    ConnectionLimits m_limits;
    LeaseLender m_lender;
    framework::DaemonId m_loggedLender;
    std::optional<PendingRequest> m_pending;
    framework::TimePoint m_nextAsk;
    framework::TimePoint m_askAt = framework::TimePoint::never();
    std::unique_ptr<framework::ITimer> m_askTimer;
    std::uint64_t m_lastSequence;
    /// Whether the last request wanted connections, not only gave some back.
    bool m_wantsMore = false;
    /// How often a lender had nothing to lend; decides which one is asked.
    std::uint64_t m_refusals = 0;
    /// Lenders asked in a row that had nothing to lend.
    std::size_t m_triedLenders = 0;
};

} // namespace lavendertally::connections
