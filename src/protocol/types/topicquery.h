#pragma once

#include "framework/types/ids.h"
#include "protocol/types/statetopic.h"

#include <cstdint>
#include <optional>

namespace lavendertally::protocol {

/// Asks a peer for what it knows of a topic, as the store cannot be read.
struct TopicQuery
{
    StateTopic topic = StateTopic::Operators;
    /// Returned in the answer.
    std::uint64_t sequence = 0;
    /// First offset that the sender does not know; nothing if it knows nothing of the topic.
    std::optional<framework::LogOffset> from;

    bool operator==(const TopicQuery &) const = default;
};

} // namespace lavendertally::protocol
