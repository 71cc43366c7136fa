#pragma once

#include "framework/types/ids.h"
#include "framework/types/units.h"

namespace lavendertally::configuration {

/// Requirements of a stage on its service, checked when all files are merged.
struct StageUse
{
    framework::ServiceId service;
    framework::TokenCount maxTokens;
    /// Whether the file sets the key `idempotent` of the stage.
    bool declaresIdempotent = false;
};

} // namespace lavendertally::configuration
