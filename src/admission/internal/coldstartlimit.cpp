#include "admission/internal/coldstartlimit.h"

#include <algorithm>

namespace lavendertally::admission {

namespace {

constexpr std::uint32_t GrowthFactor = 2;

} // namespace

ColdStartLimit::ColdStartLimit(const AdmissionLimits &limits, const AdmissionPolicy &policy)
    : m_limits(limits), m_policy(policy)
{
    enterColdStart();
}

framework::Incarnation ColdStartLimit::incarnation() const
{
    return m_incarnation.value_or(framework::Incarnation());
}

void ColdStartLimit::setLimits(const AdmissionLimits &limits)
{
    m_limits = limits;
    m_slowStartThreshold = fullLimit();
    m_limit = m_cold ? coldLimit() : std::min(m_limit, m_slowStartThreshold);
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
        enterColdStart();
    }
    m_warmConfirmed = health.ready && !health.cold;
}

void ColdStartLimit::complete(LimitEpoch startEpoch, Completion completion, bool slowOutlier)
{
    if (startEpoch < m_coldStartEpoch || completion == Completion::Cancelled) {
        return;
    }
    if (completion == Completion::Failed) {
        recordFailure(startEpoch);
    } else {
        recordSuccess(slowOutlier);
    }
}

void ColdStartLimit::enterColdStart()
{
    m_epoch = m_epoch.next();
    m_coldStartEpoch = m_epoch;
    m_cold = true;
    m_warmConfirmed = !m_incarnation.has_value();
    m_limit = coldLimit();
    m_slowStartThreshold = fullLimit();
    m_successes = 0;
    m_consecutiveFailures = 0;
    m_consecutiveSlowOutliers = 0;
}

void ColdStartLimit::recordSuccess(bool slowOutlier)
{
    m_consecutiveFailures = 0;
    m_consecutiveSlowOutliers = slowOutlier ? m_consecutiveSlowOutliers + 1 : 0;
    if (m_consecutiveSlowOutliers >= m_policy.slowSamplesBeforeCold) {
        reenterColdStart();
        return;
    }
    if (!m_warmConfirmed) {
        return;
    }
    ++m_successes;
    if (m_successes >= m_limit * m_batchesPerStep) {
        raiseLimit();
    }
}

void ColdStartLimit::recordFailure(LimitEpoch startEpoch)
{
    ++m_consecutiveFailures;
    if (m_consecutiveFailures >= m_policy.failuresBeforeCold) {
        reenterColdStart();
        return;
    }
    if (startEpoch < m_lastHalvingEpoch) {
        return;
    }
    m_epoch = m_epoch.next();
    m_lastHalvingEpoch = m_epoch;
    m_limit = std::max(m_limit / GrowthFactor, coldLimit());
    m_slowStartThreshold = m_limit;
    m_successes = 0;
}

void ColdStartLimit::raiseLimit()
{
    m_cold = false;
    m_successes = 0;
    const std::uint32_t next = m_limit < m_slowStartThreshold
        ? std::min(m_limit * GrowthFactor, m_slowStartThreshold)
        : m_limit + 1;
    m_limit = std::min(next, fullLimit());
    if (m_limit == fullLimit()) {
        m_batchesPerStep = 1;
    }
}

void ColdStartLimit::reenterColdStart()
{
    if (m_limit < fullLimit()) {
        m_batchesPerStep = std::min(m_batchesPerStep * GrowthFactor, m_policy.maxBatchesPerStep);
    }
    enterColdStart();
}

std::uint32_t ColdStartLimit::fullLimit() const
{
    return std::max(m_limits.concurrency, coldLimit());
}

std::uint32_t ColdStartLimit::coldLimit() const
{
    // With a limit of zero, no completion could ever show that the backend server is warm.
    return std::max<std::uint32_t>(1, std::min(m_limits.coldConcurrency, m_limits.concurrency));
}

} // namespace lavendertally::admission
