#pragma once

#include "framework/types/timepoint.h"
#include "protocol/types/rolloutstep.h"
#include "rollout/internal/gatewayreports.h"
#include "rollout/internal/rolloutdecision.h"
#include "rollout/internal/rolloutjudge.h"
#include "rollout/internal/rolloutplan.h"
#include "rollout/internal/rolloutsituation.h"

#include <optional>

namespace lavendertally::rollout {

/// Decides on the steps of the rollout of one service. Every leading daemon keeps one, so that each
/// of them can go on where another has ended.
class RolloutCase
{
public:
    explicit RolloutCase(const RolloutPlan &plan) : m_plan(plan) { }

    GatewayReports &reports() { return m_reports; }
    const GatewayReports &reports() const { return m_reports; }
    const RolloutJudge &judge() const { return m_judge; }

    /// Weighs the evidence that has come since the last call.
    void weigh(framework::TimePoint now);

    /// \return the step to go to, Completed only if no daemon has requests at old servers. It is
    /// the present one if there is nothing to be done
    RolloutDecision decide(const RolloutSituation &situation, framework::TimePoint now);

private:
    RolloutDecision goOn(protocol::RolloutStep step, const RolloutSituation &situation,
                         framework::TimePoint now) const;
    bool hasEnoughAnswers() const;
    framework::Milliseconds longestOldAnswer() const;
    void noteStep(protocol::RolloutStep step, framework::TimePoint now);

    RolloutPlan m_plan;
    GatewayReports m_reports;
    RolloutJudge m_judge;
    protocol::RolloutStep m_step = protocol::RolloutStep::Waiting;
    framework::TimePoint m_stepBegan;
};

} // namespace lavendertally::rollout
