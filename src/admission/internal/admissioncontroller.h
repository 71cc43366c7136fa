#pragma once

#include "admission/iadmissioncontroller.h"
#include "admission/internal/coldstartlimit.h"
#include "admission/internal/fairqueue.h"
#include "admission/internal/servicetimes.h"

#include <map>
#include <optional>
#include <vector>

namespace lavendertally::admission {

/// Admits by a limit that follows cold start, orders by class, team and deadline, and refuses early
/// what is not expected to meet its deadline.
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
    void setLimits(const AdmissionLimits &limits, framework::TimePoint now) override;
    void close(protocol::RefusalReason reason, framework::TimePoint now) override;
    protocol::LoadReport load(framework::TimePoint now) const override;

private:
    struct RunningItem
    {
        framework::PipelineId pipeline;
        LimitEpoch startedIn;
    };

    std::optional<protocol::RefusalReason> refusalOf(const WorkItem &item,
                                                     framework::TimePoint now) const;
    framework::Milliseconds expectedWait(std::size_t ahead) const;
    /// \return item that may start now
    std::optional<WorkKey> nextToStart(framework::TimePoint now) const;
    bool isReserveActive(framework::TimePoint now) const;
    void start(const WorkKey &key);
    /// \return waiting places under the present limit
    std::size_t waitingPlaces() const;
    protocol::RefusalReason crowdedReason() const;
    void refuseLater(const std::vector<WorkKey> &keys, protocol::RefusalReason reason);
    void dropLate(framework::TimePoint now);
    void dropExcess();

    AdmissionLimits m_limits;
    AdmissionPolicy m_policy;
    ColdStartLimit m_limit;
    ServiceTimes m_times;
    FairQueue m_queue;
    protocol::RefusalReason m_closedBecause = protocol::RefusalReason::None;
    std::map<WorkKey, RunningItem> m_running;
    std::optional<framework::TimePoint> m_lastInteractive;
    /// Refusals of waiting items that takeDecisions() has not handed out yet.
    std::vector<AdmissionDecision> m_refused;
};

} // namespace lavendertally::admission
