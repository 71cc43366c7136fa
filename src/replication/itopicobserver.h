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
    virtual void onSnapshot(const std::vector<protocol::TopicRecord> &records) = 0;

    /// The next record.
    /// \return whether it says more than that its writer is still there
    virtual bool onRecord(const protocol::TopicRecord &record) = 0;

    /// All that was written before \p instant has been told.
    virtual void onConfirmed(framework::TimePoint instant) = 0;

    /// The topic can be read again; called before the records that were missed.
    virtual void onSourceRecovered() = 0;
};

} // namespace lavendertally::replication
