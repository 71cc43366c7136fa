#pragma once

#include "framework/types/timepoint.h"
#include "protocol/types/topicrecord.h"

#include <vector>

namespace lavendertally::replication {

/// Hears what a TopicReplica takes in.
class ITopicObserver
{
public:
    virtual ~ITopicObserver() = default;

    /// All newest records of the topic.
    /// \param asked instant before which nothing written was missed
    virtual void onSnapshot(const std::vector<protocol::TopicRecord> &records,
                            framework::TimePoint asked) = 0;

    /// Changes since the last call.
    virtual void onChanges(const std::vector<protocol::TopicRecord> &records,
                           framework::TimePoint asked) = 0;

    /// The topic can be read again; called before the records that were missed.
    virtual void onReturned() = 0;
};

} // namespace lavendertally::replication
