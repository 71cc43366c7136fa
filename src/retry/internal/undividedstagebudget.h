#pragma once

#include "retry/istagebudget.h"

namespace lavendertally::retry {

/// Gives each stage all the remaining time; the baseline for comparisons with other stage budgets.
class UndividedStageBudget final : public IStageBudget
{
public:
    framework::Milliseconds budgetFor(const configuration::Pipeline &pipeline,
                                      std::size_t nextStage, framework::Milliseconds remaining,
                                      framework::TimePoint now) const override;
    void observe(const framework::PipelineId &pipeline, const framework::StageId &stage,
                 framework::Milliseconds duration, framework::TimePoint now) override;
};

} // namespace lavendertally::retry
