#include "replication/topicreplica.h"

#include "replication/itopicobserver.h"
#include "replication/types/topicchanges.h"

#include <algorithm>
#include <utility>

namespace lavendertally::replication {

namespace {

/// Dropped keys that are remembered for readers which know an older state; those of a few minutes.
constexpr std::size_t MaxDroppedKeys = 1024;

bool isBefore(const protocol::TopicRecord &one, const protocol::TopicRecord &other)
{
    return one.offset < other.offset;
}

} // namespace

void TopicReplica::replace(std::vector<protocol::TopicRecord> records, framework::LogOffset end,
                           framework::TimePoint asked)
{
    if (m_isKnown && end < m_next) {
        return;
    }
    std::sort(records.begin(), records.end(), isBefore);
    m_newest.clear();
    m_droppedKeys = 0;
    for (const protocol::TopicRecord &record : records) {
        keep(record, true);
    }
    m_isKnown = true;
    m_next = end;
    m_changed = end;
    m_completeFrom = end;
    m_observer.onSnapshot(records);
    confirm(asked);
}

void TopicReplica::append(const std::vector<protocol::TopicRecord> &records,
                          framework::LogOffset from, framework::LogOffset next,
                          framework::TimePoint asked)
{
    if (!m_isKnown || m_next < from) {
        return;
    }
    for (const protocol::TopicRecord &record : records) {
        if (record.offset >= m_next) {
            keep(record, m_observer.onRecord(record));
        }
    }
    m_next = std::max(m_next, next);
    if (m_droppedKeys > MaxDroppedKeys) {
        forgetDroppedKeys();
    }
    confirm(asked);
}

void TopicReplica::keep(const protocol::TopicRecord &record, bool isChange)
{
    const auto [position, isNew] = m_newest.try_emplace(record.key, record);
    protocol::TopicRecord &kept = position->second;
    // An observer may have kept the key meanwhile and see no change; other readers have not.
    const bool isBack = !kept.value && record.value;
    m_droppedKeys += record.value ? 0 : 1;
    m_droppedKeys -= !isNew && !kept.value ? 1 : 0;
    if (isNew || isChange || isBack) {
        kept = record;
        m_changed = record.offset.next();
        return;
    }
    kept.value = record.value;
}

void TopicReplica::forgetDroppedKeys()
{
    std::erase_if(m_newest, [](const auto &entry) { return !entry.second.value; });
    m_droppedKeys = 0;
    m_completeFrom = m_next;
}

void TopicReplica::confirm(framework::TimePoint asked)
{
    m_confirmedAt = std::max(m_confirmedAt, asked);
    m_observer.onConfirmed(m_confirmedAt);
}

void TopicReplica::markSourceRecovered(framework::TimePoint instant)
{
    m_recoveredAt = instant;
    m_unavailableSince = m_confirmedAt;
    m_observer.onSourceRecovered();
}

TopicChanges TopicReplica::changesSince(std::optional<framework::LogOffset> from) const
{
    TopicChanges changes;
    changes.next = m_next;
    changes.isComplete = !from || *from < m_completeFrom;
    for (const auto &[key, record] : m_newest) {
        const bool isWanted =
            changes.isComplete ? record.value.has_value() : record.offset >= *from;
        if (isWanted) {
            changes.records.push_back(record);
        }
    }
    std::sort(changes.records.begin(), changes.records.end(), isBefore);
    return changes;
}

} // namespace lavendertally::replication
