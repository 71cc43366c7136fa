#include "admission/internal/naivecontroller.h"

#include <utility>

namespace lavendertally::admission {

using framework::Milliseconds;
using framework::TimePoint;
using protocol::RefusalReason;

NaiveController::NaiveController(const AdmissionLimits &limits) : m_limits(limits) { }

AdmissionDecision NaiveController::offer(const WorkItem &item, TimePoint /*now*/)
{
    if (m_closeReason != RefusalReason::None) {
        return {item.key, AdmissionVerdict::Refuse, m_closeReason};
    }
    if (m_waiting.empty() && hasFreeSlot()) {
        m_running.insert(item.key);
        return {item.key, AdmissionVerdict::Run, RefusalReason::None};
    }
    m_waiting.push_back(item.key);
    return {item.key, AdmissionVerdict::Wait, RefusalReason::None};
}

void NaiveController::complete(const WorkKey &key, Completion /*completion*/,
                               Milliseconds /*serviceTime*/, TimePoint /*now*/)
{
    m_running.erase(key);
}

bool NaiveController::cancelWaiting(const WorkKey &key, TimePoint /*now*/)
{
    return std::erase(m_waiting, key) > 0;
}

std::vector<AdmissionDecision> NaiveController::takeDecisions(TimePoint /*now*/)
{
    std::vector<AdmissionDecision> decisions = std::exchange(m_deferredRefusals, {});
    while (!m_waiting.empty() && hasFreeSlot()) {
        const WorkKey key = m_waiting.front();
        m_waiting.pop_front();
        m_running.insert(key);
        decisions.push_back({key, AdmissionVerdict::Run, RefusalReason::None});
    }
    return decisions;
}

TimePoint NaiveController::nextWake() const
{
    return TimePoint::never();
}

void NaiveController::observeHealth(const BackendHealth &health, TimePoint /*now*/)
{
    m_incarnation = health.incarnation;
}

void NaiveController::setLimits(const AdmissionLimits &limits, TimePoint /*now*/)
{
    m_limits = limits;
}

void NaiveController::close(RefusalReason reason, TimePoint /*now*/)
{
    m_closeReason = reason;
    if (reason == RefusalReason::None) {
        return;
    }
    for (const WorkKey &key : m_waiting) {
        m_deferredRefusals.push_back({key, AdmissionVerdict::Refuse, reason});
    }
    m_waiting.clear();
}

protocol::LoadReport NaiveController::load(TimePoint /*now*/) const
{
    protocol::LoadReport report;
    report.running = static_cast<std::uint32_t>(m_running.size());
    report.queued = static_cast<std::uint32_t>(m_waiting.size());
    report.limit = m_limits.concurrency;
    report.incarnation = m_incarnation;
    return report;
}

bool NaiveController::hasFreeSlot() const
{
    return m_running.size() < m_limits.concurrency;
}

} // namespace lavendertally::admission
