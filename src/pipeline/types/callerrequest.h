#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"

#include <string>
#include <vector>

namespace lavendertally::pipeline {

/// Request of a caller, independent of the front end that received it.
struct CallerRequest
{
    framework::RequestId id;
    framework::TeamId team;
    framework::PipelineId pipeline;
    /// Time allowed from the arrival of the request, capped at the deadline of the pipeline; zero
    /// selects the deadline of the pipeline.
    framework::Milliseconds deadline;
    /// Wall-clock time at which the caller first issued the request. Required by pipelines with a
    /// non-idempotent stage.
    framework::TimePoint issuedAt;
    /// JSON value that is passed to the stages.
    std::string input;
    /// Parts of the prompt that other requests may share.
    std::vector<framework::PromptPartId> promptParts;
    /// Whether the text of the last stage is streamed to the caller.
    bool stream = false;
};

} // namespace lavendertally::pipeline
