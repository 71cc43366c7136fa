#pragma once

#include "framework/types/ids.h"

#include <optional>
#include <string>

namespace lavendertally::proxy {

/// One event of a streamed response, as received from the backend server.
struct StreamEvent
{
    /// No value if the event has no id.
    std::optional<framework::StreamEventId> id;
    /// All lines of the event, with the empty line that ends it.
    std::string text;
};

} // namespace lavendertally::proxy
