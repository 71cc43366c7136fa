#include "stages/internal/stageserverstate.h"

#include <algorithm>
#include <cmath>

namespace lavendertally::stages {

namespace {

/// Weight of the newest call in the smoothed slowness; two slow calls show a slow server.
constexpr double NewestWeight = 0.5;

/// Calls may be faster than described; less than this is noise of short calls.
constexpr double LeastSlowness = 0.5;

} // namespace

void StageServerState::callAnswered(framework::Milliseconds expected, framework::Milliseconds taken)
{
    --m_calls;
    m_failures = 0;
    const double slowness = static_cast<double>(taken.value())
        / static_cast<double>(std::max<std::int64_t>(expected.value(), 1));
    m_slowness = (1.0 - NewestWeight) * m_slowness + NewestWeight * slowness;
    m_slowness = std::max(m_slowness, LeastSlowness);
}

void StageServerState::callRefused(const StageLimits &limits, framework::TimePoint now)
{
    --m_calls;
    m_pausedUntil = std::max(m_pausedUntil, now + limits.refusalPause);
}

void StageServerState::callFailed(const StageLimits &limits, framework::TimePoint now)
{
    --m_calls;
    constexpr std::uint32_t MaxDoublings = 8;
    const std::int64_t factor = std::int64_t{1} << std::min(m_failures, MaxDoublings);
    m_pausedUntil = now + std::min(limits.minEjection * factor, limits.maxEjection);
    ++m_failures;
}

framework::Milliseconds StageServerState::usualTime(framework::Milliseconds expected) const
{
    return framework::Milliseconds(
        std::llround(static_cast<double>(expected.value()) * m_slowness));
}

} // namespace lavendertally::stages
