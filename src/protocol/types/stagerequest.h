#pragma once

#include "configuration/types/priorityclass.h"
#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/units.h"

#include <cstdint>
#include <string>

namespace lavendertally::protocol {

/// Asks a host process to run one stage on its backend server.
struct StageRequest
{
    framework::DaemonId sender;
    /// Configuration revision of the sender.
    framework::LogOffset revision;
    framework::RequestId request;
    framework::AttemptId attempt;
    framework::TeamId team;
    framework::PipelineId pipeline;
    framework::StageId stage;
    framework::ServiceId service;
    configuration::PriorityClass priority = configuration::PriorityClass::Standard;
    /// Fair-share weight of the team.
    std::uint32_t share = 1;
    /// Time left for this stage; counts from the arrival of the request.
    framework::Milliseconds budget;
    framework::TokenCount maxTokens;
    /// Whether the stage may safely be repeated.
    bool idempotent = true;
    /// Whether the result is streamed in chunks as it is generated.
    bool stream = false;
    /// JSON object: `input` as the caller gave it, `results` of the earlier stages by stage id.
    std::string payload;

    bool operator==(const StageRequest &) const = default;
};

} // namespace lavendertally::protocol
