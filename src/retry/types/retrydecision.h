#pragma once

#include "framework/types/milliseconds.h"

namespace lavendertally::retry {

/// Whether and when a failed attempt is retried.
struct RetryDecision
{
    bool retry = false;
    /// Time to wait before the retry.
    framework::Milliseconds backoff;
};

} // namespace lavendertally::retry
