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

/// Copy of one keyed topic of the store. It takes in what was read from the store or from another
/// daemon's copy; offsets tell what is new, so it does not matter where it comes from.
class TopicReplica
{
public:
    explicit TopicReplica(ITopicObserver &observer) : m_observer(observer) { }

    /// \return whether the topic has been read once
    bool isKnown() const { return m_isKnown; }

    /// \return first offset that is not known
    framework::LogOffset next() const { return m_next; }

    /// \return instant before which nothing written was missed; meaningless before isKnown()
    framework::TimePoint confirmedAt() const { return m_confirmedAt; }

    /// Takes in the newest records of all keys. Ignored if they are older than what is known.
    /// \param end first offset after the records
    /// \param asked instant before which nothing written is missing
    void replace(std::vector<protocol::TopicRecord> records, framework::LogOffset end,
                 framework::TimePoint asked);

    /// Takes in all records from one offset to another. Ignored if there is a gap before them.
    /// \param asked instant before which nothing written is missing
    void append(const std::vector<protocol::TopicRecord> &records, framework::LogOffset from,
                framework::LogOffset next, framework::TimePoint asked);

    /// The topic can be read again after a time in which it could not.
    void markSourceRecovered(framework::TimePoint instant);

    /// \return when it could be read again last; the start of the clock if it always could
    framework::TimePoint recoveredAt() const { return m_recoveredAt; }
    /// \return the newest confirmation before that return
    framework::TimePoint unavailableSince() const { return m_unavailableSince; }

    /// \return first offset after the last record that changed something
    framework::LogOffset changed() const { return m_changed; }

    /// \param from first offset that a reader does not know; nothing if it knows nothing
    /// \return what the reader has to take in, in order of the offsets
    TopicChanges changesSince(std::optional<framework::LogOffset> from) const;

private:
    void keep(const protocol::TopicRecord &record, bool isChange);
    void forgetDroppedKeys();
    void confirm(framework::TimePoint asked);

    ITopicObserver &m_observer;
    bool m_isKnown = false;
    framework::LogOffset m_next;
    framework::TimePoint m_confirmedAt;
    /// Newest value of each key with the offset of the last change of its meaning; dropped keys too
    /// if they were dropped at or after m_completeFrom.
    std::map<std::string, protocol::TopicRecord> m_newest;
    framework::LogOffset m_completeFrom;
    framework::LogOffset m_changed;
    framework::TimePoint m_recoveredAt;
    framework::TimePoint m_unavailableSince;
    std::size_t m_droppedKeys = 0;
};

} // namespace lavendertally::replication
