#pragma once

#include "framework/types/ids.h"
#include "protocol/types/topicrecord.h"

#include <vector>

namespace lavendertally::replication {

/// What a reader of a topic has to take in to know its state.
struct TopicChanges
{
    /// Whether the records are the newest of all keys instead of changes.
    bool isComplete = false;
    std::vector<protocol::TopicRecord> records;
    /// First offset that is not covered.
    framework::LogOffset next;
};

} // namespace lavendertally::replication
