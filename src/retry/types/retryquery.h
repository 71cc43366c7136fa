#pragma once

#include "configuration/types/priorityclass.h"
#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "retry/types/failurekind.h"

#include <cstdint>

namespace lavendertally::retry {

/// What the decision to try a stage again depends on.
struct RetryQuery
{
    framework::ServiceId service;
    FailureKind failure = FailureKind::Unknown;
    bool idempotent = true;
    configuration::PriorityClass priority = configuration::PriorityClass::Standard;
    /// Attempts of this stage so far, at least one.
    std::uint32_t attempts = 1;
    /// Backoff of the retry before this one; zero when there was none.
    framework::Milliseconds previousBackoff;
    /// Time left for the request.
    framework::Milliseconds budget;
};

} // namespace lavendertally::retry
