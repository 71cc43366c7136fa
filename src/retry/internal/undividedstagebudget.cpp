#include "retry/internal/undividedstagebudget.h"

#include <algorithm>

namespace lavendertally::retry {

framework::Milliseconds
UndividedStageBudget::budgetFor(const configuration::Pipeline & /*pipeline*/,
                                std::size_t /*nextStage*/, framework::Milliseconds remaining,
                                framework::TimePoint /*now*/) const
{
    return std::max(remaining, framework::Milliseconds(0));
}

void UndividedStageBudget::observe(const framework::PipelineId & /*pipeline*/,
                                   const framework::StageId & /*stage*/,
                                   framework::Milliseconds /*duration*/,
                                   framework::TimePoint /*now*/)
{ }

} // namespace lavendertally::retry
