#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"

#include <string>

namespace lavendertally::pipeline {

/// Request of a caller, independent of the front end that took it.
struct CallerRequest
{
    framework::RequestId id;
    framework::TeamId team;
    framework::PipelineId pipeline;
    /// Zero stands for the pipeline's own deadline.
    framework::Milliseconds deadline;
    /// When the caller first issued it, by wall clock; only pipelines with a stage that is not
    /// idempotent need it.
    framework::TimePoint issuedAt;
    /// JSON value that the stages get.
    std::string input;
    /// Whether the caller takes the answer in chunks.
    bool stream = false;
};

} // namespace lavendertally::pipeline
