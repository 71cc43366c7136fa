#pragma once

#include "framework/types/quantity.h"

namespace lavendertally::retry {

struct RetryRatioTag;

/// Retries for each thousand fresh calls.
using RetryRatio = framework::Quantity<RetryRatioTag>;

} // namespace lavendertally::retry
