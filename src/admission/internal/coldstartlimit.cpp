#include "admission/internal/coldstartlimit.h"

#include <algorithm>

namespace lavendertally::admission {

namespace {

constexpr std::uint32_t GrowthFactor = 2;

} // namespace

ColdStartLimit::ColdStartLimit(const AdmissionLimits &limits, const AdmissionPolicy &policy)
    : m_limits(limits), m_policy(policy)
{
    turnCold();
}

framework::Incarnation ColdStartLimit::incarnation() const
{
    return m_incarnation.value_or(framework::Incarnation());
}

void ColdStartLimit::setLimits(const AdmissionLimits &limits)
{
    m_limits = limits;
    m_threshold = fullLimit();
    m_limit = m_cold ? coldLimit() : std::min(m_limit, m_threshold);
}

void ColdStartLimit::observeHealth(const BackendHealth &health)
{
    const bool restarted = m_incarnation != health.incarnation;
    const bool becameCold = health.cold && !m_reportedCold;
    const bool becameUnready = !health.ready && m_ready;
    m_incarnation = health.incarnation;
    m_reportedCold = health.cold;
    m_ready = health.ready;
    if (restarted || becameCold || becameUnready) {
        turnCold();
    }
    m_confirmedWarm = health.ready && !health.cold;
}

void ColdStartLimit::complete(LimitEpoch startedIn, Completion completion, bool farAboveUsual)
{
    if (startedIn < m_coldSince || completion == Completion::Cancelled) {
        return;
    }
    if (completion == Completion::Failed) {
        fail(startedIn);
    } else {
        succeed(farAboveUsual);
    }
}

void ColdStartLimit::turnCold()
{
    m_epoch = m_epoch.next();
    m_coldSince = m_epoch;
    m_cold = true;
    m_confirmedWarm = !m_incarnation.has_value();
    m_limit = coldLimit();
    m_threshold = fullLimit();
    m_successes = 0;
    m_failuresInRow = 0;
    m_slowInRow = 0;
}

void ColdStartLimit::succeed(bool farAboveUsual)
{
    m_failuresInRow = 0;
    m_slowInRow = farAboveUsual ? m_slowInRow + 1 : 0;
    if (m_slowInRow >= m_policy.slowSamplesBeforeCold) {
        relapse();
        return;
    }
    if (!m_confirmedWarm) {
        return;
    }
    ++m_successes;
    if (m_successes >= m_limit * m_batchesPerStep) {
        grow();
    }
}

void ColdStartLimit::fail(LimitEpoch startedIn)
{
    ++m_failuresInRow;
    if (m_failuresInRow >= m_policy.failuresBeforeCold) {
        relapse();
        return;
    }
    if (startedIn < m_halvedIn) {
        return;
    }
    m_epoch = m_epoch.next();
    m_halvedIn = m_epoch;
    m_limit = std::max(m_limit / GrowthFactor, coldLimit());
    m_threshold = m_limit;
    m_successes = 0;
}

void ColdStartLimit::grow()
{
    m_cold = false;
    m_successes = 0;
    const std::uint32_t next =
        m_limit < m_threshold ? std::min(m_limit * GrowthFactor, m_threshold) : m_limit + 1;
    m_limit = std::min(next, fullLimit());
    if (m_limit == fullLimit()) {
        m_batchesPerStep = 1;
    }
}

void ColdStartLimit::relapse()
{
    if (m_limit < fullLimit()) {
        m_batchesPerStep = std::min(m_batchesPerStep * GrowthFactor, m_policy.maxBatchesPerStep);
    }
    turnCold();
}

std::uint32_t ColdStartLimit::fullLimit() const
{
    return std::max(m_limits.concurrency, coldLimit());
}

std::uint32_t ColdStartLimit::coldLimit() const
{
    // With a limit of zero no work could ever show that the backend server is warm.
    return std::max<std::uint32_t>(1, std::min(m_limits.coldConcurrency, m_limits.concurrency));
}

} // namespace lavendertally::admission
