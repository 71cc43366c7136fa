#pragma once

#include "admission/iadmissioncontroller.h"
#include "admission/internal/coldstartlimit.h"
#include "admission/internal/fairqueue.h"
#include "admission/internal/servicetimeestimator.h"
#include "ratelimit/tokenbucket.h"

#include <map>
#include <optional>
#include <vector>

namespace lavendertally::admission {

/// Admission control with a concurrency limit that adapts to cold start. It queues by priority
/// class, team and deadline, and refuses items early when they are not expected to meet their
/// deadline.
class AdmissionController final : public IAdmissionController
{
public:
    AdmissionController(const AdmissionLimits &limits, const AdmissionPolicy &policy);

    AdmissionDecision offer(const WorkItem &item, framework::TimePoint now) override;
    void complete(const WorkKey &key, Completion completion, framework::Milliseconds serviceTime,
                  framework::TimePoint now) override;
    bool cancelWaiting(const WorkKey &key, framework::TimePoint now) override;
    std::vector<AdmissionDecision> takeDecisions(framework::TimePoint now) override;
    framework::TimePoint nextWake() const override;
    void observeHealth(const BackendHealth &health, framework::TimePoint now) override;
    void observeRateLimit(std::optional<framework::RequestRate> named,
                          framework::TimePoint callSent, framework::TimePoint now) override;
    void setLimits(const AdmissionLimits &limits, framework::TimePoint now) override;
    void close(protocol::RefusalReason reason, framework::TimePoint now) override;
    protocol::LoadReport load(framework::TimePoint now) const override;

private:
    struct RunningItem
    {
        framework::PipelineId pipeline;
        LimitEpoch startEpoch;
    };

    /// \return why \p item is refused on arrival, if it is
    std::optional<protocol::RefusalReason> refusalReasonFor(const WorkItem &item,
                                                            framework::TimePoint now) const;
    /// \return expected time until a slot is free for an item with \p ahead items before it
    framework::Milliseconds expectedWait(std::size_t ahead, framework::TimePoint now) const;
    /// \return next item to start, if a slot is free for it
    std::optional<WorkKey> nextToStart(framework::TimePoint now) const;
    bool isReserveActive(framework::TimePoint now) const;
    void start(const WorkKey &key, framework::TimePoint now);
    /// \return items that may wait, scaled from AdmissionLimits::queueLength to the present limit
    std::size_t queueCapacity() const;
    /// \return reason for refusing an item because the queue is full
    protocol::RefusalReason overflowReason() const;
    void deferRefusals(const std::vector<WorkKey> &keys, protocol::RefusalReason reason);
    /// Refuses waiting items that can no longer meet their deadline.
    void refuseExpired(framework::TimePoint now);
    /// Refuses waiting items beyond the queue capacity.
    void shedExcess();

    AdmissionLimits m_limits;
    AdmissionPolicy m_policy;
    ColdStartLimit m_limit;
    /// Requests per second that the backend server takes; nothing if it names no limit.
    std::optional<ratelimit::TokenBucket> m_rateLimit;
    /// When the backend server last named the limit.
    framework::TimePoint m_rateLimitTold;
    ServiceTimeEstimator m_serviceTimes;
    FairQueue m_queue;
    protocol::RefusalReason m_closeReason = protocol::RefusalReason::None;
    std::map<WorkKey, RunningItem> m_running;
    std::optional<framework::TimePoint> m_lastInteractiveArrival;
    /// Refusals of waiting items that takeDecisions() has not returned yet.
    std::vector<AdmissionDecision> m_deferredRefusals;
};

} // namespace lavendertally::admission
