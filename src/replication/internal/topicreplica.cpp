#include "replication/topicreplica.h"

#include "replication/itopicobserver.h"
#include "replication/types/topicchanges.h"

#include <algorithm>
#include <utility>

namespace lavendertally::replication {

namespace {

/// Tombstones kept for followers with an older state; enough for the deletions of a few minutes.
constexpr std::size_t MaxTombstones = 1024;

bool hasLowerOffset(const protocol::TopicRecord &one, const protocol::TopicRecord &other)
{
    return one.offset < other.offset;
}

} // namespace

bool TopicReplica::replace(std::vector<protocol::TopicRecord> records, framework::LogOffset end,
                           framework::TimePoint confirmed, framework::StoreEra era)
{
    if (m_isLoaded && std::pair(era, end) < std::pair(m_era, m_next)) {
        return false;
    }
    if (m_isLoaded && era != m_era) {
        restore(records, confirmed);
    }
    m_era = era;
    std::sort(records.begin(), records.end(), hasLowerOffset);
    m_latest.clear();
    m_tombstoneCount = 0;
    for (const protocol::TopicRecord &record : records) {
        upsert(record, true);
    }
    m_isLoaded = true;
    m_next = end;
    m_lastChangeEnd = end;
    m_historyStart = end;
    m_observer.onSnapshot(records);
    confirm(confirmed);
    return true;
}

void TopicReplica::restore(std::vector<protocol::TopicRecord> &records,
                           framework::TimePoint confirmed)
{
    markSourceRecovered(confirmed);
    m_observer.onStoreRestored();
    for (protocol::TopicRecord &record : records) {
        const auto known = m_latest.find(record.key);
        if (known != m_latest.end() && m_observer.isNewer(known->second, record)) {
            record.value = known->second.value;
        }
    }
}

void TopicReplica::append(const std::vector<protocol::TopicRecord> &records,
                          framework::LogOffset from, framework::LogOffset next,
                          framework::TimePoint confirmed, framework::StoreEra era)
{
    if (!m_isLoaded || m_next < from || era != m_era) {
        return;
    }
    for (const protocol::TopicRecord &record : records) {
        if (record.offset >= m_next) {
            upsert(record, m_observer.onRecord(record));
        }
    }
    m_next = std::max(m_next, next);
    if (m_tombstoneCount > MaxTombstones) {
        purgeTombstones();
    }
    confirm(confirmed);
}

void TopicReplica::upsert(const protocol::TopicRecord &record, bool isChange)
{
    const auto [position, isNew] = m_latest.try_emplace(record.key, record);
    protocol::TopicRecord &latest = position->second;
    // The observer may have retained a deleted key and report no change, but followers have
    // deleted it and need the record.
    const bool isRestored = !latest.value && record.value;
    m_tombstoneCount += record.value ? 0 : 1;
    m_tombstoneCount -= !isNew && !latest.value ? 1 : 0;
    if (isNew || isChange || isRestored) {
        latest = record;
        m_lastChangeEnd = record.offset.next();
        return;
    }
    latest.value = record.value;
}

void TopicReplica::purgeTombstones()
{
    std::erase_if(m_latest, [](const auto &entry) { return !entry.second.value; });
    m_tombstoneCount = 0;
    m_historyStart = m_next;
}

void TopicReplica::confirm(framework::TimePoint confirmed)
{
    m_confirmedAt = std::max(m_confirmedAt, confirmed);
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
    changes.isComplete = !from || *from < m_historyStart;
    for (const auto &[key, record] : m_latest) {
        const bool isWanted =
            changes.isComplete ? record.value.has_value() : record.offset >= *from;
        if (isWanted) {
            changes.records.push_back(record);
        }
    }
    std::sort(changes.records.begin(), changes.records.end(), hasLowerOffset);
    return changes;
}

} // namespace lavendertally::replication
