#pragma once

#include "framework/types/units.h"

#include <string>

namespace lavendertally::backends {

/// Complete result of a backend call.
struct BackendResult
{
    /// JSON result; empty when it was streamed.
    std::string payload;
    framework::TokenCount tokens;
};

} // namespace lavendertally::backends
