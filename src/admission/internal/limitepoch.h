#pragma once

#include "framework/types/ordinal.h"

namespace lavendertally::admission {

struct LimitEpochTag;

/// Counts the reductions of a concurrency limit; work started in an older epoch says nothing
/// about the present limit.
using LimitEpoch = framework::Ordinal<LimitEpochTag>;

} // namespace lavendertally::admission
