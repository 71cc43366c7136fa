#include "retry/internal/measuredstagebudget.h"

#include <algorithm>

namespace lavendertally::retry {

namespace {

/// A request is given up when its remaining stages don't fit even at this percentile of their
/// durations.
constexpr int FastPercentile = 5;
constexpr int MedianPercentile = 50;

} // namespace

framework::Milliseconds MeasuredStageBudget::budgetFor(const configuration::Pipeline &pipeline,
                                                       std::size_t nextStage,
                                                       framework::Milliseconds remaining,
                                                       framework::TimePoint now) const
{
    constexpr framework::Milliseconds NoTime{0};
    const framework::Milliseconds fastest = estimateFrom(pipeline, nextStage, FastPercentile, now);
    if (remaining <= NoTime || remaining < fastest) {
        return NoTime;
    }
    const framework::Milliseconds own = estimate(pipeline, nextStage, FastPercentile, now);
    const framework::Milliseconds later =
        estimateFrom(pipeline, nextStage + 1, MedianPercentile, now);
    return std::max(remaining - later, std::max(own, framework::Milliseconds(1)));
}

void MeasuredStageBudget::observe(const framework::PipelineId &pipeline,
                                  const framework::StageId &stage, framework::Milliseconds duration,
                                  framework::TimePoint now)
{
    m_durations[pipeline][stage].add(duration, now);
}

framework::Milliseconds MeasuredStageBudget::estimate(const configuration::Pipeline &pipeline,
                                                      std::size_t stage, int percentile,
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
    return durations->second.quantile(percentile, now).value_or(framework::Milliseconds(0));
}

framework::Milliseconds MeasuredStageBudget::estimateFrom(const configuration::Pipeline &pipeline,
                                                          std::size_t firstStage, int percentile,
                                                          framework::TimePoint now) const
{
    framework::Milliseconds total;
    for (std::size_t stage = firstStage; stage < pipeline.stages.size(); ++stage) {
        total += estimate(pipeline, stage, percentile, now);
    }
    return total;
}

} // namespace lavendertally::retry
