#include "control/internal/snapshotpolicy.h"

#include <algorithm>

namespace lavendertally::control {

namespace {

/// Entries of higher rank share the last turn, so that all turns fall well within the retention.
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
    // A short retention shortens the turns, so that all of them lie in its third quarter.
    const std::int64_t longestTurn =
        m_limits.retention.value() / 4 / static_cast<std::int64_t>(MaxTurns);
    const framework::Milliseconds turn(std::min(m_limits.turnInterval.value(), longestTurn));
    return now >= m_notBefore && now >= m_firstTurn + turn * turns;
}

} // namespace lavendertally::control
