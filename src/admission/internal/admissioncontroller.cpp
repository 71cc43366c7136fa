#include "admission/internal/admissioncontroller.h"

#include <algorithm>
#include <utility>

namespace lavendertally::admission {

using configuration::PriorityClass;
using framework::Milliseconds;
using framework::TimePoint;
using protocol::RefusalReason;

AdmissionController::AdmissionController(const AdmissionLimits &limits,
                                         const AdmissionPolicy &policy)
    : m_limits(limits), m_policy(policy), m_limit(limits, policy), m_times(policy.estimateLifetime),
      m_queue(policy)
{ }

AdmissionDecision AdmissionController::offer(const WorkItem &item, TimePoint now)
{
    if (m_running.contains(item.key) || m_queue.contains(item.key)) {
        // A repeated message changes nothing; what was decided for the first one stands.
        return {item.key, AdmissionVerdict::Wait, RefusalReason::None};
    }
    if (item.priority == PriorityClass::Interactive) {
        m_lastInteractive = now;
    }
    dropLate(now);
    if (const auto reason = refusalOf(item, now)) {
        return {item.key, AdmissionVerdict::Refuse, *reason};
    }
    const Milliseconds serviceTime = m_times.expected(item.pipeline, now);
    m_queue.add({item, item.deadline - serviceTime, serviceTime});
    if (nextToStart(now) == item.key) {
        start(item.key);
        return {item.key, AdmissionVerdict::Run, RefusalReason::None};
    }
    if (m_queue.size() > waitingPlaces()) {
        const WorkKey victim = m_queue.leastUrgent(waitingPlaces());
        m_queue.remove(victim);
        if (victim == item.key) {
            return {item.key, AdmissionVerdict::Refuse, crowdedReason()};
        }
        refuseLater({victim}, crowdedReason());
    }
    return {item.key, AdmissionVerdict::Wait, RefusalReason::None};
}

void AdmissionController::complete(const WorkKey &key, Completion completion,
                                   Milliseconds serviceTime, TimePoint now)
{
    const auto node = m_running.extract(key);
    if (node.empty()) {
        return;
    }
    const RunningItem &item = node.mapped();
    bool farAboveUsual = false;
    if (completion == Completion::Succeeded) {
        farAboveUsual = serviceTime > m_policy.slowFloor
            && m_times.isFarAbove(item.pipeline, serviceTime, m_policy.slowRatio);
        m_times.observe(item.pipeline, serviceTime, now);
    }
    m_limit.complete(item.startedIn, completion, farAboveUsual);
}

bool AdmissionController::cancelWaiting(const WorkKey &key, TimePoint /*now*/)
{
    return m_queue.remove(key);
}

std::vector<AdmissionDecision> AdmissionController::takeDecisions(TimePoint now)
{
    dropLate(now);
    std::vector<AdmissionDecision> decisions = std::exchange(m_refused, {});
    while (const auto key = nextToStart(now)) {
        start(*key);
        decisions.push_back({*key, AdmissionVerdict::Run, RefusalReason::None});
    }
    dropExcess();
    decisions.insert(decisions.end(), m_refused.begin(), m_refused.end());
    m_refused.clear();
    return decisions;
}

TimePoint AdmissionController::nextWake() const
{
    if (!m_refused.empty()) {
        return TimePoint();
    }
    if (m_queue.isEmpty()) {
        return TimePoint::never();
    }
    TimePoint wake = m_queue.earliestLastStart();
    if (wake != TimePoint::never()) {
        wake = wake + Milliseconds(1);
    }
    if (m_lastInteractive && isReserveActive(*m_lastInteractive)) {
        wake = std::min(wake, *m_lastInteractive + m_policy.interactiveMemory + Milliseconds(1));
    }
    return wake;
}

void AdmissionController::observeHealth(const BackendHealth &health, TimePoint /*now*/)
{
    m_limit.observeHealth(health);
}

void AdmissionController::setLimits(const AdmissionLimits &limits, TimePoint /*now*/)
{
    m_limits = limits;
    m_limit.setLimits(limits);
}

void AdmissionController::close(RefusalReason reason, TimePoint /*now*/)
{
    m_closedBecause = reason;
    if (reason != RefusalReason::None) {
        refuseLater(m_queue.removeAll(), reason);
    }
}

protocol::LoadReport AdmissionController::load(TimePoint /*now*/) const
{
    protocol::LoadReport report;
    report.running = static_cast<std::uint32_t>(m_running.size());
    report.queued = static_cast<std::uint32_t>(m_queue.size());
    report.limit = m_closedBecause == RefusalReason::None ? m_limit.limit() : 0;
    report.cold = m_limit.isCold();
    report.expectedWait = expectedWait(m_queue.size());
    report.incarnation = m_limit.incarnation();
    return report;
}

std::optional<RefusalReason> AdmissionController::refusalOf(const WorkItem &item,
                                                            TimePoint now) const
{
    if (m_closedBecause != RefusalReason::None) {
        return m_closedBecause;
    }
    const Milliseconds needed =
        expectedWait(m_queue.aheadOf(item)) + m_times.expected(item.pipeline, now);
    if (now + needed > item.deadline) {
        return RefusalReason::DeadlineUnreachable;
    }
    return std::nullopt;
}

Milliseconds AdmissionController::expectedWait(std::size_t ahead) const
{
    const std::int64_t limit = std::max<std::uint32_t>(1, m_limit.limit());
    const auto busy = static_cast<std::int64_t>(m_running.size() + ahead);
    const std::int64_t mustEndFirst = std::max<std::int64_t>(0, busy - limit + 1);
    return Milliseconds(m_times.overall().value() * mustEndFirst / limit);
}

std::optional<WorkKey> AdmissionController::nextToStart(TimePoint now) const
{
    const std::size_t limit = m_limit.limit();
    if (m_running.size() >= limit) {
        return std::nullopt;
    }
    const std::size_t free = limit - m_running.size();
    const bool reserved = isReserveActive(now) && free <= m_policy.interactiveReserve;
    return m_queue.front(reserved ? PlaceKind::Reserved : PlaceKind::Any);
}

bool AdmissionController::isReserveActive(TimePoint now) const
{
    return m_limit.limit() >= m_policy.interactiveReserveFrom && m_lastInteractive
        && now - *m_lastInteractive <= m_policy.interactiveMemory;
}

void AdmissionController::start(const WorkKey &key)
{
    const WaitingItem item = m_queue.start(key);
    m_running.emplace(key, RunningItem{item.work.pipeline, m_limit.epoch()});
}

std::size_t AdmissionController::waitingPlaces() const
{
    const std::uint64_t concurrency = std::max<std::uint32_t>(1, m_limits.concurrency);
    const std::uint64_t limit = std::min<std::uint64_t>(m_limit.limit(), concurrency);
    return (m_limits.queueLength * limit + concurrency - 1) / concurrency;
}

RefusalReason AdmissionController::crowdedReason() const
{
    return m_limit.isCold() ? RefusalReason::Cold : RefusalReason::Full;
}

void AdmissionController::refuseLater(const std::vector<WorkKey> &keys, RefusalReason reason)
{
    for (const WorkKey &key : keys) {
        m_refused.push_back({key, AdmissionVerdict::Refuse, reason});
    }
}

void AdmissionController::dropLate(TimePoint now)
{
    refuseLater(m_queue.removeLate(now), RefusalReason::DeadlineUnreachable);
}

void AdmissionController::dropExcess()
{
    while (m_queue.size() > waitingPlaces()) {
        const WorkKey victim = m_queue.leastUrgent(waitingPlaces());
        m_queue.remove(victim);
        refuseLater({victim}, crowdedReason());
    }
}

} // namespace lavendertally::admission
