#pragma once

#include "framework/types/ids.h"

#include <optional>
#include <string>

namespace lavendertally::proxy {

/// One event of a stream, as the backend server sent it.
struct StreamEvent
{
    std::optional<framework::StreamEventId> id;
    /// All its lines, with the empty line that ends it.
    std::string text;
};

} // namespace lavendertally::proxy
