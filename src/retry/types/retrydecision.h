#pragma once

#include "framework/types/milliseconds.h"

namespace lavendertally::retry {

struct RetryDecision
{
    bool retry = false;
    /// Time to wait first.
    framework::Milliseconds backoff;
};

} // namespace lavendertally::retry
