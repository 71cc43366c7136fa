#include "stages/internal/stageserverstate.h"

#include <algorithm>
#include <cmath>

namespace lavendertally::stages {

namespace {

/// Weight of the newest call in the exponential moving average; two slow calls suffice to show that
/// a backend server is slow.
constexpr double SmoothingFactor = 0.5;

/// Half-life in milliseconds of the slowdown in excess of 1 while a backend server gets no calls.
constexpr double SlowdownHalfLifeMs = 3000.0;

/// Lower bound: calls may be faster than configured, but smaller ratios are noise of short calls.
constexpr double MinSlowdown = 0.5;

} // namespace

void StageServerState::callAnswered(framework::Milliseconds expected,
                                    framework::Milliseconds elapsed, framework::TimePoint now)
{
    --m_calls;
    m_failures = 0;
    const double slowdown = static_cast<double>(elapsed.value())
        / static_cast<double>(std::max<std::int64_t>(expected.value(), 1));
    m_slowdown = (1.0 - SmoothingFactor) * this->slowdown(now) + SmoothingFactor * slowdown;
    m_slowdown = std::max(m_slowdown, MinSlowdown);
    m_slowdownUpdated = now;
}

void StageServerState::callRefused(const StageCoordinatorOptions &options,
                                   std::optional<framework::Milliseconds> retryAfter,
                                   framework::TimePoint now)
{
    --m_calls;
    if (retryAfter) {
        m_wantsNoneUntil = std::max(m_wantsNoneUntil, now + *retryAfter);
    }
    m_pausedUntil = std::max({m_pausedUntil, m_wantsNoneUntil, now + options.refusalBackoff});
}

void StageServerState::callFailed(const StageCoordinatorOptions &options,
                                  framework::Milliseconds expected, framework::Milliseconds elapsed,
                                  framework::TimePoint now)
{
    --m_calls;
    const double lowerBound = static_cast<double>(elapsed.value())
        / static_cast<double>(std::max<std::int64_t>(expected.value(), 1));
    m_slowdown = std::max(slowdown(now), lowerBound);
    m_slowdownUpdated = now;
    constexpr std::uint32_t MaxDoublings = 8;
    const std::int64_t factor = std::int64_t{1} << std::min(m_failures, MaxDoublings);
    m_pausedUntil =
        std::max(m_wantsNoneUntil,
                 now + std::min(options.minEjectionTime * factor, options.maxEjectionTime));
    ++m_failures;
}

double StageServerState::slowdown(framework::TimePoint now) const
{
    if (m_slowdown <= 1.0) {
        return m_slowdown;
    }
    const auto age = static_cast<double>((now - m_slowdownUpdated).value());
    return 1.0 + (m_slowdown - 1.0) * std::exp2(-age / SlowdownHalfLifeMs);
}

framework::Milliseconds StageServerState::predictedTime(framework::Milliseconds expected,
                                                        framework::TimePoint now) const
{
    return framework::Milliseconds(
        std::llround(static_cast<double>(expected.value()) * slowdown(now)));
}

} // namespace lavendertally::stages
