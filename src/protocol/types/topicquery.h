#pragma once

#include "framework/types/ids.h"
#include "protocol/types/statetopic.h"

#include <cstdint>
#include <optional>

namespace lavendertally::protocol {

/// Asks a peer for the state of a topic, or for its changes since an offset.
struct TopicQuery
{
    StateTopic topic = StateTopic::Operators;
    /// Sequence number of the query, returned in the answer.
    std::uint64_t sequence = 0;
    /// First offset that the sender has not applied; nothing if it has no state of the topic.
    std::optional<framework::LogOffset> from;
    /// Era of the store to which the offset belongs.
    framework::StoreEra era = framework::StoreEra(0);

    bool operator==(const TopicQuery &) const = default;
};

} // namespace lavendertally::protocol
