#pragma once

#include "framework/types/units.h"

namespace lavendertally::standins {

/// Tokens that a completion took and made.
struct CompletionUsage
{
    framework::TokenCount promptTokens;
    framework::TokenCount completionTokens;
};

} // namespace lavendertally::standins
