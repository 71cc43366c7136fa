#pragma once

#include "framework/types/ids.h"
#include "protocol/types/topicrecord.h"

#include <vector>

namespace lavendertally::replication {

/// Records that bring a follower of a topic up to date.
struct TopicChanges
{
    /// Whether \c records are a snapshot with the latest record of each key, which replaces the
    /// follower's state; otherwise they are changes to it.
    bool isComplete = false;
    /// In order of offset.
    std::vector<protocol::TopicRecord> records;
    /// First offset that is not covered.
    framework::LogOffset next;
};

} // namespace lavendertally::replication
