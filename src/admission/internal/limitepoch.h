#pragma once

#include "framework/types/ordinal.h"

namespace lavendertally::admission {

struct LimitEpochTag;

/// Counts the reductions of a concurrency limit. Each item records the epoch in which it started,
/// so that completions from before a cold start are ignored and the failures of one batch halve the
/// limit only once.
using LimitEpoch = framework::Ordinal<LimitEpochTag>;

} // namespace lavendertally::admission
