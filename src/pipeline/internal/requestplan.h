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

/// Pipeline, share and deadline with which a request runs under the current configuration.
struct RequestPlan
{
    /// Why the request is refused; None if it can run.
    protocol::RefusalReason refusal = protocol::RefusalReason::None;
    configuration::Pipeline pipeline;
    /// Weight of the team in fair sharing.
    std::uint32_t share = 1;
    framework::TimePoint deadline;

    /// Validates \p request against \p configuration.
    /// \param now time of arrival on the clock of this process
    /// \return the plan; only its refusal is set if the request cannot run
    static RequestPlan make(const CallerRequest &request,
                            const configuration::Configuration &configuration,
                            framework::TimePoint now);
};

} // namespace lavendertally::pipeline
