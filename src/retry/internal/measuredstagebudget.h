#pragma once

#include "retry/internal/recentdurations.h"
#include "retry/istagebudget.h"

#include <map>

namespace lavendertally::retry {

/// Gives a stage the remaining time minus the median durations of the later stages ("effective
/// deadline" in Kao and Garcia-Molina, "Deadline assignment in a distributed soft real-time
/// system", 1997), and nothing when even a fast run of the remaining stages would miss the
/// deadline.
class MeasuredStageBudget final : public IStageBudget
{
public:
    framework::Milliseconds budgetFor(const configuration::Pipeline &pipeline,
                                      std::size_t nextStage, framework::Milliseconds remaining,
                                      framework::TimePoint now) const override;
    void observe(const framework::PipelineId &pipeline, const framework::StageId &stage,
                 framework::Milliseconds duration, framework::TimePoint now) override;

private:
    /// \return percentile of the stage's recent durations; zero when too few were measured
    framework::Milliseconds estimate(const configuration::Pipeline &pipeline, std::size_t stage,
                                     int percentile, framework::TimePoint now) const;
    framework::Milliseconds estimateFrom(const configuration::Pipeline &pipeline,
                                         std::size_t firstStage, int percentile,
                                         framework::TimePoint now) const;

    std::map<framework::PipelineId, std::map<framework::StageId, RecentDurations>> m_durations;
};

} // namespace lavendertally::retry
