#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "protocol/types/topicrecord.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lavendertally::replication {

class ITopicObserver;
struct TopicChanges;

/// In-memory copy of one keyed topic of the store. Records come from the store or from the replica
/// of another daemon; their offsets make applying them idempotent, whichever the source. Offsets
/// compare within one era of the store only: a later era replaces the state, an earlier one is
/// ignored.
class TopicReplica
{
public:
    explicit TopicReplica(ITopicObserver &observer) : m_observer(observer) { }

    /// \return whether a snapshot of the topic has been applied
    bool isLoaded() const { return m_isLoaded; }

    /// \return era of the store to which the offsets belong
    framework::StoreEra era() const { return m_era; }

    /// \return first offset that has not been applied
    framework::LogOffset next() const { return m_next; }

    /// \return instant before which no record written to the store is missing here; only
    /// meaningful if isLoaded()
    framework::TimePoint confirmedAt() const { return m_confirmedAt; }

    /// Replaces the state by a snapshot. Ignored if the snapshot is older than the state. In a new
    /// era, records that are newer by their content than those of the snapshot stay.
    /// \param records latest record of each key, in any order
    /// \param end first offset after the snapshot
    /// \param confirmed instant before which no record written to the store is missing
    /// \param era era of the store in which the snapshot was made
    /// \return whether the state was replaced
    bool replace(std::vector<protocol::TopicRecord> records, framework::LogOffset end,
                 framework::TimePoint confirmed, framework::StoreEra era = framework::StoreEra(0));

    /// Applies the changes between two offsets. Ignored before the first snapshot, if there is a
    /// gap between the state and \p from, and if the changes are of another era. Records that were
    /// applied before are skipped.
    /// \param records in order of offset
    /// \param from first offset that the changes cover
    /// \param next first offset after the changes
    /// \param confirmed instant before which no record written to the store is missing
    /// \param era era of the store to which the offsets belong
    void append(const std::vector<protocol::TopicRecord> &records, framework::LogOffset from,
                framework::LogOffset next, framework::TimePoint confirmed,
                framework::StoreEra era = framework::StoreEra(0));

    /// Records that the topic can be read again after an outage of the store, and notifies the
    /// observer.
    /// \param instant end of the outage
    void markSourceRecovered(framework::TimePoint instant);

    /// \return end of the last outage; the start of the clock if there was none
    framework::TimePoint recoveredAt() const { return m_recoveredAt; }
    /// \return confirmedAt() at the end of the last outage, the earliest instant at which it can
    /// have begun
    framework::TimePoint unavailableSince() const { return m_unavailableSince; }

    /// \return first offset after the last record that changed the state; later records were
    /// heartbeats
    framework::LogOffset lastChangeEnd() const { return m_lastChangeEnd; }

    /// \param from first offset that the follower has not applied; nothing if it has no state
    /// \return the changes since \p from, or a snapshot if they are no longer known in full
    TopicChanges changesSince(std::optional<framework::LogOffset> from) const;

private:
    /// Begins a new era: tells the observer, and keeps what is newer than the snapshot.
    void restore(std::vector<protocol::TopicRecord> &records, framework::TimePoint confirmed);
    void upsert(const protocol::TopicRecord &record, bool isChange);
    void purgeTombstones();
    void confirm(framework::TimePoint confirmed);

    ITopicObserver &m_observer;
    bool m_isLoaded = false;
    framework::StoreEra m_era;
    framework::LogOffset m_next;
    framework::TimePoint m_confirmedAt;
    /// Latest value of each key, with the offset of its last change that was not a heartbeat.
    /// Includes tombstones of keys that were deleted at or after m_historyStart.
    std::map<std::string, protocol::TopicRecord> m_latest;
    /// First offset since which all changes, deletions too, are known.
    framework::LogOffset m_historyStart;
    framework::LogOffset m_lastChangeEnd;
    framework::TimePoint m_recoveredAt;
    framework::TimePoint m_unavailableSince;
    std::size_t m_tombstoneCount = 0;
};

} // namespace lavendertally::replication
