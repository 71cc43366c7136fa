#pragma once

#include "framework/types/ids.h"
#include "framework/types/units.h"

namespace lavendertally::routing {

/// Part of a prompt that a model server can keep for later requests.
struct PromptPart
{
    framework::PromptPartId id;
    framework::TokenCount tokens;
};

} // namespace lavendertally::routing
