#include "rollout/internal/rolloutplan.h"

#include <algorithm>
#include <cmath>

namespace lavendertally::rollout {

namespace {

/// Parts of the exposure share: of the canary, of everything before the last step, and of the last
/// step. The last two add up to 0.95.
constexpr double CanaryPart = 0.2;
constexpr double CapPart = 0.5;
constexpr double LastPart = 0.45;
/// Part of the requests allowed on top of the share that is used before the last step, so that a
/// service with little traffic gives enough evidence.
constexpr double SlackPart = 0.5;
/// Least time under full load: two reports and the answers of a few hundred milliseconds.
constexpr framework::Milliseconds MinFullLoad{600};
constexpr double FullLoadPart = 0.12;
/// Least time on the canary: an order may have waited for its servers until the deadline.
constexpr framework::Milliseconds MinCanary{500};
constexpr double MinCanaryPart = 0.1;
/// Time after the last answer of an old server until the status is written: a report, a decision
/// and a call of the store.
constexpr framework::Milliseconds CompletionTime{350};
/// Largest part of the duration for the last step, however long old requests take.
constexpr double MaxLastPart = 0.3;

} // namespace

double RolloutPlan::canaryShare() const
{
    return CanaryPart * m_exposureShare;
}

double RolloutPlan::cap() const
{
    return CapPart * m_exposureShare;
}

std::size_t RolloutPlan::canaryServers(std::size_t targetServers) const
{
    const double servers = std::ceil(canaryShare() * static_cast<double>(targetServers));
    return std::max<std::size_t>(static_cast<std::size_t>(servers), 1);
}

double RolloutPlan::share(protocol::RolloutStep step, std::size_t targetServers) const
{
    if (step != protocol::RolloutStep::FullLoad || targetServers == 0) {
        return canaryShare();
    }
    return static_cast<double>(canaryServers(targetServers)) / static_cast<double>(targetServers);
}

double RolloutPlan::slack(framework::Milliseconds elapsed) const
{
    const double passed = static_cast<double>(elapsed.value())
        / static_cast<double>(std::max<std::int64_t>(m_duration.value(), 1));
    return SlackPart * static_cast<double>(m_exposureSlack) * std::clamp(passed, 0.0, 1.0);
}

framework::Milliseconds RolloutPlan::part(double share) const
{
    return framework::Milliseconds(
        static_cast<std::int64_t>(share * static_cast<double>(m_duration.value())));
}

framework::Milliseconds RolloutPlan::minCanaryTime() const
{
    return std::max(part(MinCanaryPart), MinCanary);
}

protocol::RolloutStep RolloutPlan::stepAt(framework::Milliseconds elapsed,
                                          framework::Milliseconds longestOld) const
{
    const framework::Milliseconds last = std::min(
        std::max(part(LastPart * m_exposureShare), longestOld + CompletionTime), part(MaxLastPart));
    const framework::Milliseconds lastBegins = m_duration - last;
    const framework::Milliseconds fullLoad = std::max(part(FullLoadPart), MinFullLoad);
    if (elapsed >= lastBegins) {
        return protocol::RolloutStep::Everything;
    }
    return elapsed >= lastBegins - fullLoad ? protocol::RolloutStep::FullLoad
                                            : protocol::RolloutStep::Canary;
}

} // namespace lavendertally::rollout
