#include "routing/internal/promptdemand.h"

#include <algorithm>
#include <cmath>

namespace lavendertally::routing {

namespace {

/// Time in which the weight of a request falls to 1/e. A gateway sees 10 to 20 requests a second;
/// a minute of them is enough to tell the parts that matter.
constexpr double DemandLifetimeMs = 60000.0;
/// The same for the probability that a server keeps a part. At full load a server reads 60,000
/// tokens a second into about 200,000 that running requests leave free.
constexpr double KeepLifetimeMs = 4000.0;
/// Parts above which old ones are forgotten.
constexpr std::size_t MaxParts = 8192;
/// Requests with none of the parts that are assumed at first, so that the first few prompts do not
/// count as the whole demand.
constexpr double PriorRequests = 20.0;
/// Age from which a part may be forgotten then.
constexpr framework::Milliseconds MinForgetAge{20000};

double decay(framework::TimePoint since, framework::TimePoint now, double lifetimeMs)
{
    return std::exp(-std::max(static_cast<double>((now - since).value()), 0.0) / lifetimeMs);
}

} // namespace

void PromptDemand::observe(framework::PromptPartId part, std::uint64_t server,
                           framework::TimePoint now)
{
    if (m_parts.size() >= MaxParts) {
        makeRoom(now);
    }
    Part &known = m_parts[part];
    known.requests = known.requests * decay(known.at, now, DemandLifetimeMs) + 1.0;
    known.at = now;
    auto place = std::find_if(known.sent.begin(), known.sent.end(),
                              [server](const Sent &sent) { return sent.server == server; });
    if (place == known.sent.end()) {
        place = std::min_element(known.sent.begin(), known.sent.end(),
                                 [](const Sent &a, const Sent &b) { return a.at < b.at; });
    }
    *place = {server, now};
}

void PromptDemand::observeRequest(framework::TimePoint now)
{
    m_requests = m_requests * decay(m_requestsAt, now, DemandLifetimeMs) + 1.0;
    m_requestsAt = now;
}

void PromptDemand::makeRoom(framework::TimePoint now)
{
    std::erase_if(m_parts, [now](const auto &entry) {
        return now - entry.second.at > MinForgetAge && entry.second.requests < 2.0;
    });
    if (m_parts.size() >= MaxParts) {
        m_parts.clear();
    }
}

double PromptDemand::share(framework::PromptPartId part, framework::TimePoint now) const
{
    const auto found = m_parts.find(part);
    if (found == m_parts.end() || m_requests <= 0.0) {
        return 0.0;
    }
    const double requests = found->second.requests * decay(found->second.at, now, DemandLifetimeMs);
    const double total = m_requests * decay(m_requestsAt, now, DemandLifetimeMs);
    return std::min(requests / (total + PriorRequests), 1.0);
}

double PromptDemand::keptByOwnCall(framework::PromptPartId part, std::uint64_t server,
                                   framework::TimePoint now) const
{
    const auto found = m_parts.find(part);
    if (found == m_parts.end()) {
        return 0.0;
    }
    for (const Sent &sent : found->second.sent) {
        if (sent.server == server && sent.at != framework::TimePoint()) {
            return decay(sent.at, now, KeepLifetimeMs);
        }
    }
    return 0.0;
}

} // namespace lavendertally::routing
