#pragma once

#include "framework/types/milliseconds.h"
#include "protocol/types/statetopic.h"
#include "protocol/types/topicrecord.h"

#include <cstdint>
#include <vector>

namespace lavendertally::protocol {

/// Answer to a TopicQuery by a peer that knows the topic.
struct TopicState
{
    StateTopic topic = StateTopic::Operators;
    std::uint64_t sequence = 0;
    /// Whether the records are the newest of all keys instead of the changes that were asked for.
    bool isComplete = false;
    std::vector<TopicRecord> records;
    /// First offset that the peer does not know.
    framework::LogOffset next;
    /// Time since this was known to be the newest state.
    framework::Milliseconds age;

    bool operator==(const TopicState &) const = default;
};

} // namespace lavendertally::protocol
