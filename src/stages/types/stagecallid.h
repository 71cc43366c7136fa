#pragma once

#include "framework/types/ordinal.h"

namespace lavendertally::stages {

struct StageCallTag;

/// One call of a coordinator to a backend server.
using StageCallId = framework::Ordinal<StageCallTag>;

} // namespace lavendertally::stages
