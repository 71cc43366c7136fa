#pragma once

#include "configuration/types/pipeline.h"
#include "framework/types/timepoint.h"
#include "protocol/types/refusalreason.h"

#include <cstdint>

namespace lavendertally::configuration {
struct Configuration;
}

namespace lavendertally::pipeline {

struct CallerRequest;

/// What the configuration makes of a caller's request.
struct RequestPlan
{
    /// Why it cannot be run; None when it can.
    protocol::RefusalReason refusal = protocol::RefusalReason::None;
    configuration::Pipeline pipeline;
    /// Weight of the team.
    std::uint32_t share = 1;
    framework::TimePoint deadline;

    /// \param now when the request arrived, on this process's clock
    static RequestPlan make(const CallerRequest &request,
                            const configuration::Configuration &configuration,
                            framework::TimePoint now);
};

} // namespace lavendertally::pipeline
