#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "protocol/types/recordversion.h"
#include "protocol/types/topicrecord.h"
#include "replication/types/snapshotorigin.h"
#include "replication/types/storeoutage.h"

#include <cstddef>
#include <deque>
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
///
/// The store may take a write seconds late, so a higher offset does not make a record newer. Where
/// records have versions, these decide, whatever the source. Versions of deleted keys are kept and
/// passed on.
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

    /// Replaces the state by a snapshot. Ignored, but for the versions, if the snapshot is older
    /// than the state. What is known of a key stays if its version is later than that in the
    /// snapshot.
    /// \param records latest record of each key, in any order; those of a peer include deleted keys
    /// \param end first offset after the snapshot
    /// \param confirmed instant before which no record written to the store is missing
    /// \param era era of the store in which the snapshot was made
    /// \param origin who made the snapshot
    /// \return whether the state was replaced
    bool replace(std::vector<protocol::TopicRecord> records, framework::LogOffset end,
                 framework::TimePoint confirmed, framework::StoreEra era = framework::StoreEra(0),
                 SnapshotOrigin origin = SnapshotOrigin::Peer);

    /// Applies the changes between two offsets. Ignored before the first snapshot, if there is a
    /// gap between the state and \p from, and if the changes are of another era. Of records that
    /// were covered before, only the versions are noted.
    /// \param records in order of offset
    /// \param from first offset that the changes cover
    /// \param next first offset after the changes
    /// \param confirmed instant before which no record written to the store is missing
    /// \param era era of the store to which the offsets belong
    void append(const std::vector<protocol::TopicRecord> &records, framework::LogOffset from,
                framework::LogOffset next, framework::TimePoint confirmed,
                framework::StoreEra era = framework::StoreEra(0));

    /// \return offset since which a daemon that has loaded its state from the store should ask a
    /// peer for the changes: the store shows what it executed last, peers know what was written
    /// last; nothing if records have no versions to tell
    std::optional<framework::LogOffset> historyToCompare() const;

    /// \return an offset up to which the state was confirmed at \p instant, or the earliest one
    /// known if all are later. Heartbeats since then may be unknown here, as followers do not get
    /// them.
    framework::LogOffset nextAt(framework::TimePoint instant) const;

    /// Records that the topic can be read again after an outage of the store, and notifies the
    /// observer.
    /// \param outage ends no earlier than the last one
    void markSourceRecovered(const StoreOutage &outage);

    /// \return the last outage; at the start of the clock if there was none
    const StoreOutage &lastOutage() const { return m_lastOutage; }

    /// \return first offset after the last record that changed the state; later records were
    /// heartbeats
    framework::LogOffset lastChangeEnd() const { return m_lastChangeEnd; }

    /// \param from first offset that the follower has not applied; nothing if it has no state
    /// \return the changes since \p from, or a snapshot if they are no longer known in full
    TopicChanges changesSince(std::optional<framework::LogOffset> from) const;

private:
    /// What is known of one key.
    struct Known
    {
        /// Latest value, with the offset of its last change that was not a heartbeat. No value if
        /// the key was deleted.
        protocol::TopicRecord record;
        /// Latest version that was read.
        std::optional<protocol::RecordVersion> version;
        /// Version of the last record that was passed over as outdated; nothing once one was
        /// applied.
        std::optional<protocol::RecordVersion> outdatedVersion;
        /// When the first of a series of outdated records with rising versions was read.
        framework::TimePoint outdatedSince;
    };

    /// Instant and the first offset that was not confirmed then.
    struct Position
    {
        framework::TimePoint confirmed;
        framework::LogOffset next;
    };

    std::optional<protocol::RecordVersion> versionOf(const protocol::TopicRecord &record) const;
    /// Takes a record of a snapshot, without telling the observer of its value.
    /// \param isAfterGap whether the snapshot follows a gap in the history of the store, in which
    /// the key may have been deleted; a record that is older than what is known is dropped then
    void merge(protocol::TopicRecord record, bool isAfterGap);
    /// Takes a record that follows the state, unless it is outdated.
    void apply(protocol::TopicRecord record, framework::TimePoint confirmed);
    /// Notes the version of a record that was covered before. Drops what was known of its key if
    /// that was written before the deletion that \p record is.
    void note(const protocol::TopicRecord &record);
    void purgeTombstones();
    void confirm(framework::TimePoint confirmed);

    ITopicObserver &m_observer;
    bool m_isLoaded = false;
    framework::StoreEra m_era;
    framework::LogOffset m_next;
    framework::TimePoint m_confirmedAt;
    /// Includes tombstones of all keys that were deleted at or after m_historyStart.
    std::map<std::string, Known> m_latest;
    /// Positions of the last seconds, in order of time.
    std::deque<Position> m_positions;
    /// First offset since which all changes, deletions too, are known.
    framework::LogOffset m_historyStart;
    framework::LogOffset m_lastChangeEnd;
    StoreOutage m_lastOutage;
    std::size_t m_tombstoneCount = 0;
};

} // namespace lavendertally::replication
