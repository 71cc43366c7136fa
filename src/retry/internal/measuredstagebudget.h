#pragma once

#include "retry/internal/recentdurations.h"
#include "retry/istagebudget.h"

#include <map>

namespace lavendertally::retry {

/// Gives a stage the remaining time less what the later stages usually take ("effective deadline"
/// in Kao and Garcia-Molina, "Deadline assignment in a distributed soft real-time system", 1997),
/// and nothing when even a quick run of the rest would be too late.
class MeasuredStageBudget final : public IStageBudget
{
public:
    framework::Milliseconds budgetFor(const configuration::Pipeline &pipeline,
                                      std::size_t nextStage, framework::Milliseconds remaining,
                                      framework::TimePoint now) const override;
    void observe(const framework::PipelineId &pipeline, const framework::StageId &stage,
                 framework::Milliseconds duration, framework::TimePoint now) override;

private:
    framework::Milliseconds estimate(const configuration::Pipeline &pipeline, std::size_t stage,
                                     int percent, framework::TimePoint now) const;
    framework::Milliseconds sum(const configuration::Pipeline &pipeline, std::size_t firstStage,
                                int percent, framework::TimePoint now) const;

    std::map<framework::PipelineId, std::map<framework::StageId, RecentDurations>> m_durations;
};

} // namespace lavendertally::retry
