#pragma once

#include "configuration/types/pipeline.h"
#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"

#include <cstddef>

namespace lavendertally::retry {

/// Splits what is left of a request's deadline between the stages that are left.
class IStageBudget
{
public:
    virtual ~IStageBudget() = default;

    /// \param nextStage index into the pipeline's stages
    /// \param remaining time left for the whole request
    /// \return time that the stage may take; zero when the rest cannot be done in time
    virtual framework::Milliseconds budgetFor(const configuration::Pipeline &pipeline,
                                              std::size_t nextStage,
                                              framework::Milliseconds remaining,
                                              framework::TimePoint now) const = 0;

    /// \param duration time that the stage took, as the entry saw it
    virtual void observe(const framework::PipelineId &pipeline, const framework::StageId &stage,
                         framework::Milliseconds duration, framework::TimePoint now) = 0;
};

} // namespace lavendertally::retry
