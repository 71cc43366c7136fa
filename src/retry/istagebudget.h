#pragma once

#include "configuration/types/pipeline.h"
#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"

#include <cstddef>

namespace lavendertally::retry {

/// Splits the time left until a request's deadline between the remaining stages.
class IStageBudget
{
public:
    virtual ~IStageBudget() = default;

    /// \param nextStage index of the next stage in the pipeline's stages
    /// \param remaining time left for the whole request
    /// \return time that the next stage may take; zero when the request cannot meet its deadline
    virtual framework::Milliseconds budgetFor(const configuration::Pipeline &pipeline,
                                              std::size_t nextStage,
                                              framework::Milliseconds remaining,
                                              framework::TimePoint now) const = 0;

    /// Reports a finished stage.
    /// \param duration time that the stage took, measured at the entry
    virtual void observe(const framework::PipelineId &pipeline, const framework::StageId &stage,
                         framework::Milliseconds duration, framework::TimePoint now) = 0;
};

} // namespace lavendertally::retry
