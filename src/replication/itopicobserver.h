#pragma once

#include "framework/types/timepoint.h"
#include "protocol/types/topicrecord.h"

#include <vector>

namespace lavendertally::replication {

/// Receives the records that a TopicReplica applies.
class ITopicObserver
{
public:
    virtual ~ITopicObserver() = default;

    /// The whole state of the topic was loaded or reloaded.
    /// \param records latest record of each key, in order of offset
    virtual void onSnapshot(const std::vector<protocol::TopicRecord> &records) = 0;

    /// The next record was applied.
    /// \return whether it changed anything; false for a mere heartbeat, which replicas do not pass
    /// on to followers
    virtual bool onRecord(const protocol::TopicRecord &record) = 0;

    /// All records written to the store before \p instant have been delivered.
    virtual void onConfirmed(framework::TimePoint instant) = 0;

    /// The store was restored from a copy; called before the snapshot of the new era. Changes that
    /// the copy lacks are written again after a while.
    virtual void onStoreRestored() = 0;

    /// Compares records of one key, of which one was known before the store was restored.
    /// \return whether \p known is newer than \p restored by its content
    virtual bool isNewer(const protocol::TopicRecord &known,
                         const protocol::TopicRecord &restored) const = 0;

    /// The topic can be read again after an outage of the store; called before the records that
    /// were missed are delivered.
    virtual void onSourceRecovered() = 0;
};

} // namespace lavendertally::replication
