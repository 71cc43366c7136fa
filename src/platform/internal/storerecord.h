#pragma once

#include "framework/types/ids.h"

#include <optional>
#include <string>

namespace lavendertally::platform {

/// Record of a keyed topic.
struct StoreRecord
{
    std::string key;
    /// Nothing if the key was dropped.
    std::optional<std::string> value;
};

} // namespace lavendertally::platform
