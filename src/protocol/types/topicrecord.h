#pragma once

#include "framework/types/ids.h"

#include <optional>
#include <string>

namespace lavendertally::protocol {

/// Record of a keyed topic.
struct TopicRecord
{
    framework::LogOffset offset;
    std::string key;
    /// Nothing if the key was dropped.
    std::optional<std::string> value;

    bool operator==(const TopicRecord &) const = default;
};

} // namespace lavendertally::protocol
