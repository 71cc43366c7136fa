#pragma once

#include "configuration/types/priorityclass.h"
#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "retry/types/failurekind.h"

#include <cstdint>

namespace lavendertally::retry {

/// Input of the decision to retry a stage.
struct RetryQuery
{
    framework::ServiceId service;
    FailureKind failure = FailureKind::Unknown;
    bool idempotent = true;
    configuration::PriorityClass priority = configuration::PriorityClass::Standard;
    /// Attempts of this stage so far, at least one.
    std::uint32_t attempts = 1;
    /// Backoff of the previous retry of this stage; zero when there was none.
    framework::Milliseconds previousBackoff;
    /// Time left for the request.
    framework::Milliseconds budget;
};

} // namespace lavendertally::retry
