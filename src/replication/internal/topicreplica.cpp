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
        keep(record);
    }
    m_isKnown = true;
    m_next = end;
    m_completeFrom = end;
    confirm(asked);
    m_observer.onSnapshot(records, m_confirmedAt);
}

void TopicReplica::append(const std::vector<protocol::TopicRecord> &records,
                          framework::LogOffset from, framework::LogOffset next,
                          framework::TimePoint asked)
{
    if (!m_isKnown || m_next < from) {
        return;
    }
    std::vector<protocol::TopicRecord> fresh;
    std::copy_if(records.begin(), records.end(), std::back_inserter(fresh),
                 [this](const protocol::TopicRecord &record) { return record.offset >= m_next; });
    for (const protocol::TopicRecord &record : fresh) {
        keep(record);
    }
    m_next = std::max(m_next, next);
    confirm(asked);
    m_observer.onChanges(fresh, m_confirmedAt);
}

void TopicReplica::keep(const protocol::TopicRecord &record)
{
    protocol::TopicRecord &kept = m_newest[record.key];
    const bool wasDropped = !kept.value && !kept.key.empty();
    kept = record;
    m_droppedKeys += record.value ? 0 : 1;
    m_droppedKeys -= wasDropped ? 1 : 0;
    if (m_droppedKeys > MaxDroppedKeys) {
        std::erase_if(m_newest, [](const auto &entry) { return !entry.second.value; });
        m_droppedKeys = 0;
        m_completeFrom = record.offset.next();
    }
}

void TopicReplica::confirm(framework::TimePoint asked)
{
    m_confirmedAt = std::max(m_confirmedAt, asked);
}

void TopicReplica::sourceReturned()
{
    m_observer.onReturned();
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
