#include "rollout/internal/rolloutcase.h"

#include "rollout/internal/answertimes.h"

#include <algorithm>

namespace lavendertally::rollout {

namespace {

using protocol::RolloutStep;

/// Least time in a step before the next: reports about it arrive and are weighed.
constexpr framework::Milliseconds MinStepTime{500};
/// Part of the requests sent to the new version that must have been answered before it gets more;
/// one that answers nothing gives no evidence either.
constexpr double MinAnsweredShare = 0.5;
/// Requests that may always be unanswered.
constexpr std::uint64_t MaxUnanswered = 4;
/// Share of the old version's answers that are no longer than its longest, but for outliers.
constexpr double LongestShare = 0.998;

} // namespace

void RolloutCase::weigh(framework::TimePoint now)
{
    m_judge.observe(m_reports.totals(), now);
    // A successor of the decider knows how long the step has lasted.
    noteStep(std::max(m_step, m_reports.highestStep()), now);
}

void RolloutCase::noteStep(RolloutStep step, framework::TimePoint now)
{
    if (step != m_step) {
        m_step = step;
        m_stepBegan = now;
    }
}

RolloutDecision RolloutCase::decide(const RolloutSituation &situation, framework::TimePoint now)
{
    const RolloutStep step = std::max(situation.step, m_reports.highestStep());
    noteStep(step, now);
    if (step == RolloutStep::RolledBack || step == RolloutStep::Completed) {
        return {step, "final", {}};
    }
    // Without another version there is nothing to go back to.
    if (m_judge.finding() && situation.otherServers > 0) {
        return {RolloutStep::RolledBack, "the new version is worse", {}};
    }
    if (situation.targetServers == 0) {
        const bool isLost = step == RolloutStep::Everything && situation.otherServers > 0;
        return isLost ? RolloutDecision{RolloutStep::RolledBack, "no server of it is left", {}}
                      : RolloutDecision{step, "no server of it is ready", {}};
    }
    return goOn(step, situation, now);
}

RolloutDecision RolloutCase::goOn(RolloutStep step, const RolloutSituation &situation,
                                  framework::TimePoint now) const
{
    // A leading daemon that is cut off takes itself for the decider.
    if (!m_reports.hasMajority(situation.registered, now)) {
        return {step, "too few gateways are heard", {}};
    }
    if (step == RolloutStep::Everything) {
        auto awaited = m_reports.daemonsAtOldServers(situation.registered, now);
        return awaited.empty()
            ? RolloutDecision{RolloutStep::Completed, "no request is at old servers", {}}
            : RolloutDecision{step, "requests may be at old servers", std::move(awaited)};
    }
    if (situation.otherServers == 0 || situation.isTargetEstablished) {
        return {RolloutStep::Everything,
                situation.otherServers == 0 ? "no other version is left" : "it is in use",
                {}};
    }
    if (step == RolloutStep::Waiting) {
        return {RolloutStep::Canary, "its servers are ready", {}};
    }
    if (m_plan.stepAt(situation.elapsed, longestOldAnswer()) <= step) {
        return {step, "not yet time", {}};
    }
    const framework::Milliseconds leastTime =
        step == RolloutStep::Canary ? m_plan.minCanaryTime() : MinStepTime;
    if (now - m_stepBegan < leastTime) {
        return {step, "the step has just begun", {}};
    }
    if (!hasEnoughAnswers()) {
        return {step, "too few of its requests are answered", {}};
    }
    return {step == RolloutStep::Canary ? RolloutStep::FullLoad : RolloutStep::Everything,
            "no sign that it is worse",
            {}};
}

bool RolloutCase::hasEnoughAnswers() const
{
    const std::uint64_t sent = m_reports.sentToTarget();
    const std::uint64_t answered = m_judge.answers();
    return answered + MaxUnanswered >= sent
        || static_cast<double>(answered) >= MinAnsweredShare * static_cast<double>(sent);
}

framework::Milliseconds RolloutCase::longestOldAnswer() const
{
    framework::Milliseconds longest(0);
    for (const auto &[key, evidence] : m_reports.totals()) {
        if (!key.second && evidence.answers > evidence.failures) {
            longest = std::max(
                longest, AnswerTimes::end(AnswerTimes::quantile(evidence.times, LongestShare)));
        }
    }
    return longest;
}

} // namespace lavendertally::rollout
