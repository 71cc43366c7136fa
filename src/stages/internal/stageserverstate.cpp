#include "stages/internal/stageserverstate.h"

#include <algorithm>
#include <cmath>

namespace lavendertally::stages {

namespace {

/// Weight of the newest call in the smoothed slowness; two slow calls show a slow server.
constexpr double NewestWeight = 0.5;

/// Time in which the excess of a slow server halves while it is not tried.
constexpr double SlownessHalfLife = 3000.0;

/// Calls may be faster than described; less than this is noise of short calls.
constexpr double LeastSlowness = 0.5;

} // namespace

void StageServerState::callAnswered(framework::Milliseconds expected, framework::Milliseconds taken,
                                    framework::TimePoint now)
{
    --m_calls;
    m_failures = 0;
    const double slowness = static_cast<double>(taken.value())
        / static_cast<double>(std::max<std::int64_t>(expected.value(), 1));
    m_slowness = (1.0 - NewestWeight) * this->slowness(now) + NewestWeight * slowness;
    m_slowness = std::max(m_slowness, LeastSlowness);
    m_measured = now;
}

void StageServerState::callRefused(const StageLimits &limits, framework::TimePoint now)
{
    --m_calls;
    m_pausedUntil = std::max(m_pausedUntil, now + limits.refusalPause);
}

void StageServerState::callFailed(const StageLimits &limits, framework::Milliseconds expected,
                                  framework::Milliseconds taken, framework::TimePoint now)
{
    --m_calls;
    const double atLeast = static_cast<double>(taken.value())
        / static_cast<double>(std::max<std::int64_t>(expected.value(), 1));
    m_slowness = std::max(slowness(now), atLeast);
    m_measured = now;
    constexpr std::uint32_t MaxDoublings = 8;
    const std::int64_t factor = std::int64_t{1} << std::min(m_failures, MaxDoublings);
    m_pausedUntil = now + std::min(limits.minEjection * factor, limits.maxEjection);
    ++m_failures;
}

double StageServerState::slowness(framework::TimePoint now) const
{
    if (m_slowness <= 1.0) {
        return m_slowness;
    }
    const auto age = static_cast<double>((now - m_measured).value());
    return 1.0 + (m_slowness - 1.0) * std::exp2(-age / SlownessHalfLife);
}

framework::Milliseconds StageServerState::usualTime(framework::Milliseconds expected,
                                                    framework::TimePoint now) const
{
    return framework::Milliseconds(
        std::llround(static_cast<double>(expected.value()) * slowness(now)));
}

} // namespace lavendertally::stages
