#include "ratelimit/internal/serverratelimits.h"

#include "framework/ilogger.h"
#include "framework/imetrics.h"

#include <algorithm>
#include <string>
#include <utility>

namespace lavendertally::ratelimit {

ServerRateLimits::ServerRateLimits(framework::ILogger &logger, framework::IMetrics &metrics,
                                   const RateLimitLimits &limits)
    : m_logger(logger), m_metrics(metrics), m_limits(limits), m_onChange([](const auto &) {}),
      m_onWanted([] {})
{ }

bool ServerRateLimits::isExpired(const Entry &entry, framework::TimePoint now) const
{
    return now - entry.told > m_limits.lifetime;
}

void ServerRateLimits::observeAnswer(const framework::BackendServerId &server,
                                     std::optional<framework::RequestRate> named,
                                     framework::TimePoint callSent, framework::TimePoint now)
{
    if (named) {
        set(server, named, now, now);
        return;
    }
    const auto found = m_entries.find(server);
    if (found != m_entries.end() && found->second.rate && callSent > found->second.told) {
        set(server, std::nullopt, now, now);
    }
}

void ServerRateLimits::set(const framework::BackendServerId &server,
                           std::optional<framework::RequestRate> rate, framework::TimePoint told,
                           framework::TimePoint now)
{
    if (!m_entries.contains(server)) {
        makeRoom();
    }
    Entry &entry = m_entries[server];
    entry.told = told;
    if (entry.rate == rate) {
        return;
    }
    entry.rate = rate;
    if (!rate) {
        entry.wanted = 0;
        entry.permits.clear();
    }
    m_logger.info(rate ? "backend server names a request rate limit"
                       : "backend server no longer names a request rate limit",
                  {{"backend_server", server.value()},
                   {"requests_per_1000_s", rate ? std::to_string(rate->value()) : "unlimited"}});
    m_metrics.increment("lavendertally_rate_limit_changes_total",
                        {{"limit", rate ? "named" : "ended"}});
    m_onChange({server, rate, now - told});
}

/// Forgets the backend server that was heard of longest ago if there is no room for another one.
void ServerRateLimits::makeRoom()
{
    if (m_entries.size() < m_limits.maxServers) {
        return;
    }
    const auto oldest = std::min_element(
        m_entries.begin(), m_entries.end(),
        [](const auto &left, const auto &right) { return left.second.told < right.second.told; });
    m_logger.warning("too many backend servers name rate limits; one is forgotten",
                     {{"backend_server", oldest->first.value()}});
    m_entries.erase(oldest);
}

bool ServerRateLimits::mayCall(const framework::BackendServerId &server, framework::TimePoint now)
{
    const auto found = m_entries.find(server);
    if (found == m_entries.end()) {
        return true;
    }
    if (isExpired(found->second, now)) {
        m_entries.erase(found);
        return true;
    }
    Entry &entry = found->second;
    if (!entry.rate) {
        return true;
    }
    while (!entry.permits.empty() && entry.permits.front() <= now) {
        entry.permits.pop_front();
    }
    if (entry.permits.empty()) {
        entry.wanted = std::min(entry.wanted + 1, m_limits.maxWanted);
        // Permits may be issued at once.
        m_onWanted();
    }
    return !entry.permits.empty();
}

void ServerRateLimits::callSent(const framework::BackendServerId &server,
                                framework::TimePoint /*now*/)
{
    const auto found = m_entries.find(server);
    if (found != m_entries.end() && !found->second.permits.empty()) {
        found->second.permits.pop_front();
    }
}

std::optional<framework::RequestRate>
ServerRateLimits::rateOf(const framework::BackendServerId &server) const
{
    const auto found = m_entries.find(server);
    return found == m_entries.end() ? std::nullopt : found->second.rate;
}

IRateLimitStore::Limits ServerRateLimits::limits(framework::TimePoint now) const
{
    Limits result;
    for (const auto &[server, entry] : m_entries) {
        if (!isExpired(entry, now)) {
            result.push_back({server, entry.rate, now - entry.told});
        }
    }
    std::sort(result.begin(), result.end(), [](const auto &left, const auto &right) {
        return std::pair(left.age, left.server) < std::pair(right.age, right.server);
    });
    return result;
}

std::optional<protocol::ServerRateLimit>
ServerRateLimits::limit(const framework::BackendServerId &server, framework::TimePoint now) const
{
    const auto found = m_entries.find(server);
    if (found == m_entries.end() || isExpired(found->second, now)) {
        return std::nullopt;
    }
    return protocol::ServerRateLimit{server, found->second.rate, now - found->second.told};
}

void ServerRateLimits::merge(const Limits &limits, framework::TimePoint now)
{
    for (const protocol::ServerRateLimit &limit : limits) {
        const framework::TimePoint told = now - limit.age;
        const auto found = m_entries.find(limit.server);
        const bool isNews =
            found == m_entries.end() ? limit.rate.has_value() : told > found->second.told;
        if (isNews && limit.age <= m_limits.lifetime) {
            set(limit.server, limit.rate, told, now);
        }
    }
}

IRateLimitStore::Permits ServerRateLimits::takeWanted(framework::TimePoint now)
{
    Permits wanted;
    for (auto &[server, entry] : m_entries) {
        if (entry.wanted > 0 && !isExpired(entry, now)) {
            wanted.push_back({server, std::exchange(entry.wanted, 0)});
        }
    }
    return wanted;
}

void ServerRateLimits::addPermits(const Permits &permits, framework::TimePoint asked)
{
    for (const protocol::PermitCount &permit : permits) {
        const auto found = m_entries.find(permit.server);
        if (found == m_entries.end() || !found->second.rate) {
            continue;
        }
        std::deque<framework::TimePoint> &held = found->second.permits;
        held.insert(held.end(), permit.count, asked + permitLifetime(*found->second.rate));
    }
}

bool ServerRateLimits::expire(framework::TimePoint now)
{
    std::erase_if(m_entries, [&](const auto &entry) { return isExpired(entry.second, now); });
    return !m_entries.empty();
}

void ServerRateLimits::setListeners(std::function<void(const protocol::ServerRateLimit &)> onChange,
                                    std::function<void()> onWanted)
{
    m_onChange = std::move(onChange);
    m_onWanted = std::move(onWanted);
}

} // namespace lavendertally::ratelimit
