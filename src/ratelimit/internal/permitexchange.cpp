#include "ratelimit/internal/permitexchange.h"

#include "framework/hash.h"
#include "framework/iclock.h"
#include "framework/ilogger.h"
#include "framework/imetrics.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "peers/idaemondirectory.h"
#include "peers/ipeernetwork.h"
#include "peers/leadingdaemons.h"
#include "ratelimit/types/ratelimitlimits.h"

#include <algorithm>
#include <utility>

namespace lavendertally::ratelimit {

namespace {

/// Changes are gathered for this long and told together.
constexpr framework::Milliseconds GatherTime{30};
/// Least time between two requests of a daemon; grows with the number of daemons, which the issuer
/// has to answer.
constexpr framework::Milliseconds MinAskInterval{250};
constexpr std::int64_t DaemonsPerAskInterval = 32;
/// A request that is not answered by then is given up. Its permits would expire soon.
constexpr framework::Milliseconds AnswerTimeout{500};
/// What nobody has mentioned for this long is forgotten.
constexpr framework::Milliseconds BucketLifetime{60000};
constexpr framework::Milliseconds ExpiryInterval{10000};

} // namespace

PermitExchange::PermitExchange(framework::DaemonId self, IRateLimitStore &store,
                               peers::IPeerNetwork &network,
                               const peers::IDaemonDirectory &directory,
                               framework::IScheduler &scheduler, const framework::IClock &clock,
                               framework::ILogger &logger, framework::IMetrics &metrics)
    : m_self(std::move(self)), m_store(store), m_network(network), m_directory(directory),
      m_scheduler(scheduler), m_clock(clock), m_logger(logger), m_metrics(metrics)
{
    m_network.addObserver(*this);
    m_network.setTakesRateLimits();
    m_store.setListeners([this](const protocol::ServerRateLimit &limit) { onLimitChanged(limit); },
                         [this] { ask(); });
}

PermitExchange::~PermitExchange()
{
    m_store.setListeners([](const protocol::ServerRateLimit & /*limit*/) {}, [] {});
}

std::optional<framework::DaemonId> PermitExchange::issuer() const
{
    const std::vector<framework::DaemonId> takers = m_network.rateLimitTakers();
    const auto &ranking = m_directory.ranking();
    const std::size_t leading = std::min(ranking.size(), peers::LeadingDaemons);
    for (std::size_t index = 0; index < leading; ++index) {
        const framework::DaemonId &daemon = ranking[index].daemon;
        const bool isUsable = daemon == m_self ? m_network.isSelfAccepting()
                                               : m_network.isAccepting(daemon)
                && std::find(takers.begin(), takers.end(), daemon) != takers.end();
        if (isUsable) {
            return daemon;
        }
    }
    return std::nullopt;
}

void PermitExchange::onLimitChanged(const protocol::ServerRateLimit &limit)
{
    planExpiry();
    m_news[limit.server] = m_teller;
    if (!m_newsTimer) {
        m_newsTimer = m_scheduler.callAfter(GatherTime, [this] {
            m_newsTimer.reset();
            tellNews();
        });
    }
}

/// The issuer tells all daemons, the others tell the issuer what backend servers told them.
void PermitExchange::tellNews()
{
    const framework::TimePoint now = m_clock.now();
    const auto news = std::exchange(m_news, {});
    const auto issuing = issuer();
    const auto limitsNewTo = [&](const std::optional<framework::DaemonId> &peer) {
        IRateLimitStore::Limits limits;
        for (const auto &[server, teller] : news) {
            const bool isNew = peer ? teller != peer : !teller;
            const auto limit = m_store.limit(server, now);
            if (isNew && limit && limits.size() < protocol::MaxRateLimitEntries) {
                limits.push_back(*limit);
            }
        }
        return limits;
    };
    if (issuing == m_self) {
        for (const framework::DaemonId &peer : m_network.rateLimitTakers()) {
            if (auto limits = limitsNewTo(peer); !limits.empty()) {
                m_network.send(peer, protocol::PermitGrant{0, std::move(limits), {}});
            }
        }
    } else if (issuing) {
        if (auto limits = limitsNewTo(std::nullopt); !limits.empty()) {
            m_network.send(*issuing, protocol::PermitRequest{0, std::move(limits), {}, false});
        }
    }
}

void PermitExchange::ask()
{
    const framework::TimePoint now = m_clock.now();
    if (m_pending && now - m_pending->sent >= AnswerTimeout) {
        m_pending.reset();
    }
    if (m_pending || now < m_nextAsk) {
        if (!m_askTimer) {
            const framework::TimePoint due =
                std::max(m_nextAsk, m_pending ? m_pending->sent + AnswerTimeout : now);
            m_askTimer = m_scheduler.callAfter(due - now, [this] {
                m_askTimer.reset();
                ask();
            });
        }
        return;
    }
    IRateLimitStore::Permits wanted = m_store.takeWanted(now);
    if (wanted.empty()) {
        return;
    }
    if (wanted.size() > protocol::MaxRateLimitEntries) {
        wanted.resize(protocol::MaxRateLimitEntries);
    }
    m_nextAsk = now + askInterval();
    const auto issuing = issuer();
    if (issuing && *issuing != m_self) {
        send(*issuing, std::move(wanted), false);
        return;
    }
    const std::size_t sharers = issuing ? 1 : m_directory.limitSharerCount();
    m_store.addPermits(issue(wanted, sharers), now);
}

framework::Milliseconds PermitExchange::askInterval() const
{
    constexpr std::uint64_t Steps = 64;
    const auto daemons = static_cast<std::int64_t>(m_directory.limitSharerCount());
    const framework::Milliseconds interval = MinAskInterval * (1 + daemons / DaemonsPerAskInterval);
    // Differs among daemons, so that they do not keep asking at the same moments.
    const auto step = static_cast<std::int64_t>(framework::stableHash(m_self.value()) % Steps);
    return interval + framework::Milliseconds(interval.value() * step / (4 * Steps));
}

void PermitExchange::send(const framework::DaemonId &issuer, IRateLimitStore::Permits wanted,
                          bool wantsAllLimits)
{
    const framework::TimePoint now = m_clock.now();
    protocol::PermitRequest request;
    request.sequence = ++m_lastSequence;
    request.wantsAllLimits = wantsAllLimits;
    if (wantsAllLimits) {
        request.limits = m_store.limits(now);
        request.limits.resize(std::min(request.limits.size(), protocol::MaxRateLimitEntries));
    }
    for (const protocol::PermitCount &permit : wanted) {
        if (const auto limit = m_store.limit(permit.server, now)) {
            request.limits.push_back(*limit);
        }
    }
    request.wanted = std::move(wanted);
    if (issuer != m_loggedIssuer) {
        m_loggedIssuer = issuer;
        m_logger.info("permits for requests to rate-limited backend servers come from a peer",
                      {{"peer", issuer.value()}});
    }
    if (!request.wanted.empty()) {
        m_pending = PendingRequest{request.sequence, now};
    }
    if (!m_network.send(issuer, request)) {
        m_pending.reset();
    }
    m_metrics.increment("lavendertally_permit_requests_total", {{"direction", "sent"}});
}

IRateLimitStore::Permits PermitExchange::issue(const IRateLimitStore::Permits &wanted,
                                               std::size_t sharers)
{
    const framework::TimePoint now = m_clock.now();
    IRateLimitStore::Permits permits;
    for (const protocol::PermitCount &each : wanted) {
        const auto limit = m_store.limit(each.server, now);
        if (!limit || !limit->rate) {
            continue;
        }
        const framework::RequestRate rate(limit->rate->value()
                                          / static_cast<std::int64_t>(sharers));
        const std::uint32_t issued = m_issuer.issue(each.server, rate, each.count, now);
        if (issued > 0) {
            permits.push_back({each.server, issued});
        }
        m_metrics.increment("lavendertally_permits_total",
                            {{"outcome", issued > 0 ? "issued" : "refused"}});
    }
    return permits;
}

void PermitExchange::onMessage(const framework::DaemonId &peer,
                               const protocol::PeerMessage &message)
{
    m_teller = peer;
    if (const auto *request = std::get_if<protocol::PermitRequest>(&message)) {
        onRequest(peer, *request);
    } else if (const auto *grant = std::get_if<protocol::PermitGrant>(&message)) {
        onGrant(*grant);
    }
    m_teller.reset();
}

void PermitExchange::onRequest(const framework::DaemonId &peer,
                               const protocol::PermitRequest &request)
{
    const framework::TimePoint now = m_clock.now();
    m_metrics.increment("lavendertally_permit_requests_total", {{"direction", "received"}});
    m_store.merge(request.limits, now);
    if (request.wanted.empty() && !request.wantsAllLimits) {
        return;
    }
    protocol::PermitGrant grant;
    grant.sequence = request.sequence;
    grant.permits = issue(request.wanted, 1);
    if (request.wantsAllLimits) {
        grant.limits = m_store.limits(now);
        grant.limits.resize(std::min(grant.limits.size(), protocol::MaxRateLimitEntries));
    } else {
        for (const protocol::PermitCount &permit : request.wanted) {
            if (const auto limit = m_store.limit(permit.server, now)) {
                grant.limits.push_back(*limit);
            }
        }
    }
    m_network.send(peer, grant);
}

void PermitExchange::onGrant(const protocol::PermitGrant &grant)
{
    m_store.merge(grant.limits, m_clock.now());
    if (m_pending && grant.sequence == m_pending->sequence) {
        m_store.addPermits(grant.permits, m_pending->sent);
        m_pending.reset();
    }
}

void PermitExchange::planExpiry()
{
    if (m_expiryTimer) {
        return;
    }
    m_expiryTimer = m_scheduler.callAfter(ExpiryInterval, [this] {
        m_expiryTimer.reset();
        m_issuer.expire(BucketLifetime, m_clock.now());
        if (m_store.expire(m_clock.now()) || m_issuer.size() > 0) {
            planExpiry();
        }
    });
}

/// Exchanges all limits with an issuer that is new to this daemon.
void PermitExchange::onDigests(const framework::DaemonId &peer,
                               const std::vector<protocol::TopicDigest> & /*digests*/,
                               std::optional<framework::TimePoint> /*pingSent*/)
{
    if (peer != m_informedIssuer && issuer() == peer) {
        m_informedIssuer = peer;
        send(peer, {}, true);
    }
}

void PermitExchange::onCrashFingerprint(const framework::DaemonId & /*peer*/,
                                        protocol::EvidenceFingerprint /*fingerprint*/)
{
    // Concerns prompt parts only.
}

void PermitExchange::onOutboundLinkLost(const framework::DaemonId &peer)
{
    if (peer == m_informedIssuer) {
        m_informedIssuer = {};
        m_pending.reset();
    }
}

void PermitExchange::onInboundLinkClosed(const framework::DaemonId & /*peer*/)
{
    // Permits that the peer holds expire.
}

} // namespace lavendertally::ratelimit
