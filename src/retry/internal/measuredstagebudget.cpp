#include "retry/internal/measuredstagebudget.h"

#include <algorithm>

namespace lavendertally::retry {

namespace {

/// A rest that cannot be done even this quickly is given up.
constexpr int QuickPercent = 5;
constexpr int UsualPercent = 50;

} // namespace

framework::Milliseconds MeasuredStageBudget::budgetFor(const configuration::Pipeline &pipeline,
                                                       std::size_t nextStage,
                                                       framework::Milliseconds remaining,
                                                       framework::TimePoint now) const
{
    constexpr framework::Milliseconds Nothing{0};
    const framework::Milliseconds quickest = sum(pipeline, nextStage, QuickPercent, now);
    if (remaining <= Nothing || remaining < quickest) {
        return Nothing;
    }
    const framework::Milliseconds own = estimate(pipeline, nextStage, QuickPercent, now);
    const framework::Milliseconds later = sum(pipeline, nextStage + 1, UsualPercent, now);
    return std::max(remaining - later, std::max(own, framework::Milliseconds(1)));
}

void MeasuredStageBudget::observe(const framework::PipelineId &pipeline,
                                  const framework::StageId &stage, framework::Milliseconds duration,
                                  framework::TimePoint now)
{
    m_durations[pipeline][stage].add(duration, now);
}

framework::Milliseconds MeasuredStageBudget::estimate(const configuration::Pipeline &pipeline,
                                                      std::size_t stage, int percent,
                                                      framework::TimePoint now) const
{
    const auto stages = m_durations.find(pipeline.id);
    if (stages == m_durations.end()) {
        return {};
    }
    const auto durations = stages->second.find(pipeline.stages[stage].id);
    if (durations == stages->second.end()) {
        return {};
    }
    return durations->second.quantile(percent, now).value_or(framework::Milliseconds(0));
}

framework::Milliseconds MeasuredStageBudget::sum(const configuration::Pipeline &pipeline,
                                                 std::size_t firstStage, int percent,
                                                 framework::TimePoint now) const
{
    framework::Milliseconds total;
    for (std::size_t stage = firstStage; stage < pipeline.stages.size(); ++stage) {
        total += estimate(pipeline, stage, percent, now);
    }
    return total;
}

} // namespace lavendertally::retry
