#include "control/internal/snapshotpolicy.h"

#include <algorithm>

namespace lavendertally::control {

namespace {

/// Later entries share the last turn, so that turns end long before the retention does.
constexpr std::size_t MaxTurns = 10;

} // namespace

SnapshotPolicy::SnapshotPolicy(const SnapshotLimits &limits, framework::TimePoint now)
    : m_limits(limits), m_firstTurn(now + limits.startDelay)
{ }

void SnapshotPolicy::noteSnapshot(framework::TimePoint now)
{
    m_firstTurn = now + framework::Milliseconds(m_limits.retention.value() / 2);
}

void SnapshotPolicy::noteAttempt(framework::TimePoint now)
{
    m_notBefore = now + m_limits.retryDelay;
}

bool SnapshotPolicy::isDue(std::size_t rank, framework::TimePoint now) const
{
    const auto turns = static_cast<std::int64_t>(std::min(rank, MaxTurns));
    // With a short retention the turns shrink, so that all lie in its third quarter.
    const std::int64_t longestTurn =
        m_limits.retention.value() / 4 / static_cast<std::int64_t>(MaxTurns);
    const framework::Milliseconds turn(std::min(m_limits.turn.value(), longestTurn));
    return now >= m_notBefore && now >= m_firstTurn + turn * turns;
}

} // namespace lavendertally::control
