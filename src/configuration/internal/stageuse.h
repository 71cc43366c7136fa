#pragma once

#include "framework/types/ids.h"
#include "framework/types/units.h"

namespace lavendertally::configuration {

/// What a stage asks of its service; checked once all files are merged.
struct StageUse
{
    framework::ServiceId service;
    framework::TokenCount maxTokens;
    /// Whether the file says if the stage is idempotent.
    bool statesIdempotent = false;
};

} // namespace lavendertally::configuration
