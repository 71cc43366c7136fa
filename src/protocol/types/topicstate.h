#pragma once

#include "framework/types/milliseconds.h"
#include "protocol/types/statetopic.h"
#include "protocol/types/topicrecord.h"

#include <cstdint>
#include <vector>

namespace lavendertally::protocol {

/// Answer to a TopicQuery by a peer that has the topic loaded.
struct TopicState
{
    StateTopic topic = StateTopic::Operators;
    /// Sequence number from the query.
    std::uint64_t sequence = 0;
    /// Whether \c records are a snapshot with the latest record of each key, instead of changes
    /// since the offset in the query.
    bool isComplete = false;
    /// In order of offset.
    std::vector<TopicRecord> records;
    /// First offset that the sender has not applied.
    framework::LogOffset next;
    /// Time since the sender's replica was last confirmed to be complete.
    framework::Milliseconds age;
    /// Era of the store to which the offsets belong.
    framework::StoreEra era = framework::StoreEra(0);

    bool operator==(const TopicState &) const = default;
};

} // namespace lavendertally::protocol
