#include "connections/internal/leaseexchange.h"

#include "framework/hash.h"
#include "framework/iclock.h"
#include "framework/ilogger.h"
#include "framework/imetrics.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "peers/idaemondirectory.h"
#include "peers/ipeernetwork.h"
#include "peers/leadingdaemons.h"

#include <algorithm>
#include <utility>

namespace lavendertally::connections {

namespace {

/// The time between two requests grows with the number of gateways, which the lenders answer. With
/// 320 gateways a lender still gets a second request while a call waits.
constexpr std::int64_t GatewaysPerAskInterval = 320;

} // namespace

LeaseExchange::LeaseExchange(framework::DaemonId self, ILeaseBook &book,
                             peers::IPeerNetwork &network, const peers::IDaemonDirectory &directory,
                             framework::IScheduler &scheduler, const framework::IClock &clock,
                             framework::ILogger &logger, framework::IMetrics &metrics,
                             const ConnectionLimits &limits)
    : m_self(std::move(self)), m_book(book), m_network(network), m_directory(directory),
      m_scheduler(scheduler), m_clock(clock), m_logger(logger), m_metrics(metrics),
      m_limits(limits), m_lender(limits),
      // Rises over restarts, so that a lender tells requests of the process before from new ones.
      m_lastSequence(static_cast<std::uint64_t>(clock.wallNow().sinceEpoch()))
{
    m_network.addObserver(*this);
    m_network.setTakesConnectionLeases();
    // Gathers what is wanted at several servers at once.
    m_book.setWishListener([this](framework::TimePoint at) { planAsk(std::max(at, m_nextAsk)); });
}

LeaseExchange::~LeaseExchange()
{
    m_book.setWishListener([](framework::TimePoint /*at*/) {});
}

/// Gateways are spread over the lenders, each of which has a part of what is lent.
std::optional<framework::DaemonId> LeaseExchange::lender() const
{
    const std::vector<framework::DaemonId> takers = m_network.connectionLeaseTakers();
    const auto &ranking = m_directory.ranking();
    const std::size_t leading = std::min(ranking.size(), peers::LeadingDaemons);
    const std::uint64_t first = framework::stableHash(m_self.value()) + m_refusals;
    for (std::size_t count = 0; count < leading; ++count) {
        const framework::DaemonId &gateway = ranking[(first + count) % leading].daemon;
        if (gateway == m_self
            || (m_network.isAccepting(gateway)
                && std::find(takers.begin(), takers.end(), gateway) != takers.end())) {
            return gateway;
        }
    }
    return std::nullopt;
}

framework::Milliseconds LeaseExchange::askInterval() const
{
    const auto gateways = static_cast<std::int64_t>(m_directory.limitSharerCount());
    return m_limits.minAskInterval * (1 + gateways / GatewaysPerAskInterval);
}

void LeaseExchange::ask()
{
    const framework::TimePoint now = m_clock.now();
    if (m_pending && now - m_pending->sent >= m_limits.answerTimeout) {
        m_pending.reset();
    }
    if (m_pending || now < m_nextAsk) {
        planAsk(std::max(m_nextAsk, m_pending ? m_pending->sent + m_limits.answerTimeout : now));
        return;
    }
    m_lender.expire(now);
    std::vector<protocol::ConnectionLease> wishes = m_book.takeWishes(now);
    if (wishes.empty()) {
        return;
    }
    m_wantsMore =
        std::any_of(wishes.begin(), wishes.end(), [](const auto &wish) { return wish.count > 0; });
    m_nextAsk = now + askInterval();
    planAsk(now + m_limits.renewInterval);
    wishes.resize(std::min(wishes.size(), protocol::MaxConnectionLeases));
    const auto lending = lender();
    if (lending == m_self) {
        granted(lend(m_self, wishes), now);
    } else if (lending) {
        send(*lending, std::move(wishes));
    }
}

void LeaseExchange::planAsk(framework::TimePoint at)
{
    if (at >= m_askAt) {
        return;
    }
    m_askAt = at;
    m_askTimer = m_scheduler.callAfter(at - m_clock.now(), [this] {
        m_askAt = framework::TimePoint::never();
        ask();
    });
}

void LeaseExchange::send(const framework::DaemonId &lender,
                         std::vector<protocol::ConnectionLease> wishes)
{
    if (lender != m_loggedLender) {
        m_loggedLender = lender;
        m_logger.info("connections beyond the share come from a peer", {{"peer", lender.value()}});
    }
    m_pending = PendingRequest{++m_lastSequence, m_clock.now()};
    if (!m_network.send(lender,
                        protocol::ConnectionLeases{m_lastSequence, false, std::move(wishes)})) {
        m_pending.reset();
    }
    m_metrics.increment("lavendertally_connection_lease_requests_total", {{"direction", "sent"}});
}

std::vector<protocol::ConnectionLease>
LeaseExchange::lend(const framework::DaemonId &borrower,
                    const std::vector<protocol::ConnectionLease> &wishes)
{
    const framework::TimePoint now = m_clock.now();
    std::vector<protocol::ConnectionLease> leases;
    for (const protocol::ConnectionLease &wish : wishes) {
        const std::uint32_t lendable = m_book.lendable(wish.server, wish.service, now);
        const std::uint32_t count = m_lender.lend(borrower, wish, lendable, now);
        leases.push_back({wish.server, wish.service, 0, count});
        if (wish.count > 0) {
            m_metrics.increment(
                "lavendertally_connection_leases_total",
                {{"service", wish.service.value()}, {"outcome", count > 0 ? "lent" : "refused"}});
        }
    }
    return leases;
}

void LeaseExchange::onMessage(const framework::DaemonId &peer, const protocol::PeerMessage &message)
{
    const auto *leases = std::get_if<protocol::ConnectionLeases>(&message);
    if (leases == nullptr) {
        return;
    }
    if (!leases->isGrant) {
        m_metrics.increment("lavendertally_connection_lease_requests_total",
                            {{"direction", "received"}});
        m_lender.expire(m_clock.now());
        if (m_lender.accepts(peer, leases->sequence)) {
            m_network.send(
                peer,
                protocol::ConnectionLeases{leases->sequence, true, lend(peer, leases->leases)});
        }
        return;
    }
    if (m_pending && leases->sequence == m_pending->sequence) {
        const framework::TimePoint asked = m_pending->sent;
        m_pending.reset();
        granted(leases->leases, asked);
    }
}

/// One that lends nothing at all is left for the next lender, at once, since calls wait only
/// briefly. One that lends something is kept: what it has lent would count there until it lapses.
void LeaseExchange::granted(const std::vector<protocol::ConnectionLease> &leases,
                            framework::TimePoint asked)
{
    m_book.addLeases(leases, asked);
    const bool isRefused = std::all_of(leases.begin(), leases.end(),
                                       [](const auto &lease) { return lease.count == 0; });
    const std::size_t lenders = std::min(m_directory.ranking().size(), peers::LeadingDaemons);
    if (!isRefused || leases.empty() || !m_wantsMore) {
        m_triedLenders = 0;
        return;
    }
    ++m_refusals;
    if (++m_triedLenders < lenders) {
        m_nextAsk = m_clock.now();
        planAsk(m_nextAsk);
    } else {
        m_triedLenders = 0;
    }
}

void LeaseExchange::onDigests(const framework::DaemonId & /*peer*/,
                              const std::vector<protocol::TopicDigest> & /*digests*/,
                              std::optional<framework::TimePoint> /*pingSent*/)
{
    // Concerns the topics of the store only.
}

void LeaseExchange::onCrashFingerprint(const framework::DaemonId & /*peer*/,
                                       protocol::EvidenceFingerprint /*fingerprint*/)
{
    // Concerns prompt parts only.
}

void LeaseExchange::onOutboundLinkLost(const framework::DaemonId & /*peer*/)
{
    // A grant on its way may be lost; the request is given up after its time.
}

void LeaseExchange::onInboundLinkClosed(const framework::DaemonId & /*peer*/)
{
    // What was lent lapses.
}

} // namespace lavendertally::connections
