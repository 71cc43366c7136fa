#pragma once

#include "framework/types/ids.h"
#include "protocol/types/recordversion.h"

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
    /// Of a deleted key, as a daemon tells others: version of its last record. Records of the store
    /// have none.
    std::optional<RecordVersion> lastVersion = std::nullopt;
    /// Whether the record was applied although a later version had been known, because its writer
    /// went on with lower numbers. Set by daemons only.
    bool restartsNumbers = false;

    bool operator==(const TopicRecord &) const = default;
};

} // namespace lavendertally::protocol
