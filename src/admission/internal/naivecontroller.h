#pragma once

#include "admission/iadmissioncontroller.h"

#include <deque>
#include <set>
#include <vector>

namespace lavendertally::admission {

/// First-come-first-served controller with a fixed concurrency, a baseline for comparison.
class NaiveController final : public IAdmissionController
{
public:
    explicit NaiveController(const AdmissionLimits &limits);

    AdmissionDecision offer(const WorkItem &item, framework::TimePoint now) override;
    void complete(const WorkKey &key, Completion completion, framework::Milliseconds serviceTime,
                  framework::TimePoint now) override;
    bool cancelWaiting(const WorkKey &key, framework::TimePoint now) override;
    std::vector<AdmissionDecision> takeDecisions(framework::TimePoint now) override;
    framework::TimePoint nextWake() const override;
    void observeHealth(const BackendHealth &health, framework::TimePoint now) override;
    void observeRateLimit(std::optional<framework::RequestRate> /*named*/,
                          framework::TimePoint /*callSent*/, framework::TimePoint /*now*/) override
    {
        // The baseline keeps its concurrency only.
    }
    void setLimits(const AdmissionLimits &limits, framework::TimePoint now) override;
    void close(protocol::RefusalReason reason, framework::TimePoint now) override;
    protocol::LoadReport load(framework::TimePoint now) const override;

private:
    bool hasFreeSlot() const;

    AdmissionLimits m_limits;
    protocol::RefusalReason m_closeReason = protocol::RefusalReason::None;
    framework::Incarnation m_incarnation;
    std::deque<WorkKey> m_waiting;
    std::set<WorkKey> m_running;
    std::vector<AdmissionDecision> m_deferredRefusals;
};

} // namespace lavendertally::admission
