#pragma once

#include "framework/types/ids.h"

#include <optional>
#include <string>

namespace lavendertally::protocol {

/// Record of a keyed topic of the store.
struct TopicRecord
{
    framework::LogOffset offset;
    std::string key;
    /// Nothing if the key was deleted.
    std::optional<std::string> value;

    bool operator==(const TopicRecord &) const = default;
};

} // namespace lavendertally::protocol
