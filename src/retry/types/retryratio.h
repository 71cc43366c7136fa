#pragma once

#include "framework/types/quantity.h"

namespace lavendertally::retry {

struct RetryRatioTag;

/// Retries or hedges per thousand first attempts.
using RetryRatio = framework::Quantity<RetryRatioTag>;

} // namespace lavendertally::retry
