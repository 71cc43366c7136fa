#pragma once

#include "framework/types/ordinal.h"

namespace lavendertally::stages {

struct StageCallTag;

/// Identifies a call among those of one coordinator.
using StageCallId = framework::Ordinal<StageCallTag>;

} // namespace lavendertally::stages
