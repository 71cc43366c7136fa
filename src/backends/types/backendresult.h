#pragma once

#include "framework/types/units.h"

#include <string>

namespace lavendertally::backends {

/// Complete result of a backend call.
struct BackendResult
{
    /// JSON result; a generated text stands in it whole, whether or not it was handed on in
    /// chunks before.
    std::string payload;
    framework::TokenCount tokens;
};

} // namespace lavendertally::backends
