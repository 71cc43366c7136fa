#pragma once

#include "framework/types/units.h"

#include <string>

namespace lavendertally::backends {

/// Complete result of a backend call.
struct BackendResult
{
    /// JSON result. Contains the complete generated text, including parts already delivered as
    /// chunks.
    std::string payload;
    /// Number of generated tokens; zero for services that generate no text.
    framework::TokenCount tokens;
};

} // namespace lavendertally::backends
