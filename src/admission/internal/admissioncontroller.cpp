#include "admission/internal/admissioncontroller.h"

#include <algorithm>
#include <utility>

namespace lavendertally::admission {

using configuration::PriorityClass;
using framework::Milliseconds;
using framework::TimePoint;
using protocol::RefusalReason;

namespace {

/// Classes are ranks in their order.
framework::PriorityRank rankOf(PriorityClass priority)
{
    return framework::PriorityRank(static_cast<std::uint64_t>(priority));
}

QueuePolicy queuePolicy(const AdmissionPolicy &policy)
{
    QueuePolicy result;
    result.protectedRank = rankOf(PriorityClass::Background);
    result.protectedStartInterval = policy.backgroundStartInterval;
    result.protectedQueueDivisor = policy.backgroundQueueDivisor;
    result.reservedRank = rankOf(PriorityClass::Interactive);
    return result;
}

} // namespace

AdmissionController::AdmissionController(const AdmissionLimits &limits,
                                         const AdmissionPolicy &policy)
    : m_limits(limits), m_policy(policy), m_limit(limits, policy),
      m_serviceTimes(policy.estimateLifetime), m_queue(queuePolicy(policy))
{ }

AdmissionDecision AdmissionController::offer(const WorkItem &item, TimePoint now)
{
    if (m_running.contains(item.key) || m_queue.contains(item.key)) {
        // A duplicate message; the decision on the first one stands.
        return {item.key, AdmissionVerdict::Wait, RefusalReason::None};
    }
    if (item.priority == PriorityClass::Interactive) {
        m_lastInteractiveArrival = now;
    }
    refuseExpired(now);
    if (const auto reason = refusalReasonFor(item, now)) {
        return {item.key, AdmissionVerdict::Refuse, *reason};
    }
    const Milliseconds serviceTime = m_serviceTimes.expected(item.pipeline, now);
    m_queue.add({item, rankOf(item.priority), item.deadline - serviceTime, serviceTime});
    if (nextToStart(now) == item.key) {
        start(item.key, now);
        return {item.key, AdmissionVerdict::Run, RefusalReason::None};
    }
    if (m_queue.size() > queueCapacity()) {
        const WorkKey victim = m_queue.shedCandidate(queueCapacity());
        m_queue.remove(victim);
        if (victim == item.key) {
            return {item.key, AdmissionVerdict::Refuse, overflowReason()};
        }
        deferRefusals({victim}, overflowReason());
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
    bool slowOutlier = false;
    if (completion == Completion::Succeeded) {
        slowOutlier = serviceTime > m_policy.slowFloor
            && m_serviceTimes.isSlowOutlier(item.pipeline, serviceTime, m_policy.slowRatio);
        m_serviceTimes.observe(item.pipeline, serviceTime, now);
    }
    m_limit.complete(item.startEpoch, completion, slowOutlier);
}

bool AdmissionController::cancelWaiting(const WorkKey &key, TimePoint /*now*/)
{
    return m_queue.remove(key);
}

std::vector<AdmissionDecision> AdmissionController::takeDecisions(TimePoint now)
{
    refuseExpired(now);
    std::vector<AdmissionDecision> decisions = std::exchange(m_deferredRefusals, {});
    while (const auto key = nextToStart(now)) {
        start(*key, now);
        decisions.push_back({*key, AdmissionVerdict::Run, RefusalReason::None});
    }
    shedExcess();
    decisions.insert(decisions.end(), m_deferredRefusals.begin(), m_deferredRefusals.end());
    m_deferredRefusals.clear();
    return decisions;
}

TimePoint AdmissionController::nextWake() const
{
    if (!m_deferredRefusals.empty()) {
        return TimePoint();
    }
    if (m_queue.isEmpty()) {
        return TimePoint::never();
    }
    TimePoint wake = m_queue.nextExpiry();
    if (wake != TimePoint::never()) {
        // An item expires only once its latest start has passed.
        wake = wake + Milliseconds(1);
    }
    if (m_lastInteractiveArrival && isReserveActive(*m_lastInteractiveArrival)) {
        wake = std::min(
            wake, *m_lastInteractiveArrival + m_policy.interactiveReserveTimeout + Milliseconds(1));
    }
    if (m_rateLimit && m_running.size() < m_limit.limit()) {
        wake = std::min(wake, m_rateLimit->availableAt(1));
    }
    return wake;
}

void AdmissionController::observeRateLimit(std::optional<framework::RequestRate> named,
                                           TimePoint callSent, TimePoint now)
{
    if (!named) {
        if (m_rateLimit && callSent > m_rateLimitTold) {
            m_rateLimit.reset();
        }
        return;
    }
    m_rateLimitTold = now;
    if (!m_rateLimit) {
        m_rateLimit.emplace(*named, now);
    } else if (m_rateLimit->rate() != *named) {
        m_rateLimit->setRate(*named, now);
    }
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
    m_closeReason = reason;
    if (reason != RefusalReason::None) {
        deferRefusals(m_queue.removeAll(), reason);
    }
}

protocol::LoadReport AdmissionController::load(TimePoint now) const
{
    protocol::LoadReport report;
    report.running = static_cast<std::uint32_t>(m_running.size());
    report.queued = static_cast<std::uint32_t>(m_queue.size());
    report.limit = m_closeReason == RefusalReason::None ? m_limit.limit() : 0;
    report.cold = m_limit.isCold();
    report.expectedWait = expectedWait(m_queue.size(), now);
    report.incarnation = m_limit.incarnation();
    return report;
}

std::optional<RefusalReason> AdmissionController::refusalReasonFor(const WorkItem &item,
                                                                   TimePoint now) const
{
    if (m_closeReason != RefusalReason::None) {
        return m_closeReason;
    }
    const WaitingItem waiting{item, rankOf(item.priority), item.deadline, {}};
    const Milliseconds needed = expectedWait(m_queue.itemsAhead(waiting), now)
        + m_serviceTimes.expected(item.pipeline, now);
    if (now + needed > item.deadline) {
        return RefusalReason::DeadlineUnreachable;
    }
    return std::nullopt;
}

Milliseconds AdmissionController::expectedWait(std::size_t ahead, TimePoint now) const
{
    const std::int64_t limit = std::max<std::uint32_t>(1, m_limit.limit());
    const auto busy = static_cast<std::int64_t>(m_running.size() + ahead);
    // Slots become free at the rate of limit completions per mean service time.
    const std::int64_t completionsNeeded = std::max<std::int64_t>(0, busy - limit + 1);
    const Milliseconds forSlot(m_serviceTimes.overall().value() * completionsNeeded / limit);
    if (!m_rateLimit) {
        return forSlot;
    }
    return std::max(forSlot, m_rateLimit->timeUntil(static_cast<std::uint32_t>(ahead) + 1, now));
}

std::optional<WorkKey> AdmissionController::nextToStart(TimePoint now) const
{
    const std::size_t limit = m_limit.limit();
    if (m_running.size() >= limit || (m_rateLimit && m_rateLimit->available(now) == 0)) {
        return std::nullopt;
    }
    const std::size_t free = limit - m_running.size();
    const bool reserved = isReserveActive(now) && free <= m_policy.interactiveReserve;
    return m_queue.front(reserved ? SlotKind::Reserved : SlotKind::Any);
}

bool AdmissionController::isReserveActive(TimePoint now) const
{
    return m_limit.limit() >= m_policy.interactiveReserveMinLimit && m_lastInteractiveArrival
        && now - *m_lastInteractiveArrival <= m_policy.interactiveReserveTimeout;
}

void AdmissionController::start(const WorkKey &key, TimePoint now)
{
    if (m_rateLimit) {
        m_rateLimit->take(1, now);
    }
    const WaitingItem item = m_queue.start(key);
    m_running.emplace(key, RunningItem{item.work.pipeline, m_limit.epoch()});
}

std::size_t AdmissionController::queueCapacity() const
{
    const std::uint64_t concurrency = std::max<std::uint32_t>(1, m_limits.concurrency);
    const std::uint64_t limit = std::min<std::uint64_t>(m_limit.limit(), concurrency);
    return (m_limits.queueLength * limit + concurrency - 1) / concurrency;
}

RefusalReason AdmissionController::overflowReason() const
{
    return m_limit.isCold() ? RefusalReason::Cold : RefusalReason::Full;
}

void AdmissionController::deferRefusals(const std::vector<WorkKey> &keys, RefusalReason reason)
{
    for (const WorkKey &key : keys) {
        m_deferredRefusals.push_back({key, AdmissionVerdict::Refuse, reason});
    }
}

void AdmissionController::refuseExpired(TimePoint now)
{
    deferRefusals(m_queue.removeExpired(now), RefusalReason::DeadlineUnreachable);
}

void AdmissionController::shedExcess()
{
    while (m_queue.size() > queueCapacity()) {
        const WorkKey victim = m_queue.shedCandidate(queueCapacity());
        m_queue.remove(victim);
        deferRefusals({victim}, overflowReason());
    }
}

} // namespace lavendertally::admission
