#pragma once

#include "framework/types/timepoint.h"
#include "protocol/types/recordversion.h"
#include "protocol/types/topicrecord.h"

#include <optional>
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

    /// \return order of the record among those of its key by what its writer says, by which records
    /// that the store took late are told from new ones; nothing if its writer numbers none
    virtual std::optional<protocol::RecordVersion>
    version(const protocol::TopicRecord &record) const = 0;

    /// \return whether writers write their records again at short intervals, so that one which
    /// stays away for a moment may be done without
    virtual bool areRecordsRenewed() const = 0;

    /// The record is older by its version than what is known of its key. It is neither applied nor
    /// passed on to followers.
    virtual void onOutdated(const protocol::TopicRecord &record) = 0;

    /// The topic can be read again after an outage of the store; called before the records that
    /// were missed are delivered.
    virtual void onSourceRecovered() = 0;
};

} // namespace lavendertally::replication
