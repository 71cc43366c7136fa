#include "replication/topicreplica.h"

#include "replication/itopicobserver.h"
#include "replication/types/topicchanges.h"

#include <algorithm>
#include <utility>

namespace lavendertally::replication {

namespace {

/// Tombstones kept for followers with an older state, and to tell late records of deleted keys;
/// enough for the deletions of some minutes.
constexpr std::size_t MaxTombstones = 8192;

/// A writer that goes on with lower numbers for longer than the store takes to execute a late write
/// has begun to count anew, as after a clock was set back.
constexpr framework::Milliseconds LateWriteTime{10000};

/// Reports of each writer in the time that the store may take to execute a late write.
constexpr std::uint64_t ComparedReports = 10;

constexpr std::size_t MaxPositions = 32;
constexpr framework::Milliseconds PositionInterval{500};

bool hasLowerOffset(const protocol::TopicRecord &one, const protocol::TopicRecord &other)
{
    return one.offset < other.offset;
}

/// The one rule for which of two records of a key is newer.
/// \param known latest version known of the key
/// \param isDeleted whether the key was deleted since
/// \return whether a record of version \p read was written before what is known; never if one of
/// them has no version
bool isOutdated(const std::optional<protocol::RecordVersion> &known, bool isDeleted,
                const std::optional<protocol::RecordVersion> &read)
{
    return known && read && (isDeleted ? *read <= *known : *read < *known);
}

} // namespace

std::optional<protocol::RecordVersion>
TopicReplica::versionOf(const protocol::TopicRecord &record) const
{
    return record.value ? m_observer.version(record) : record.lastVersion;
}

bool TopicReplica::replace(std::vector<protocol::TopicRecord> records, framework::LogOffset end,
                           framework::TimePoint confirmed, framework::StoreEra era,
                           SnapshotOrigin origin)
{
    if (m_isLoaded && std::pair(era, end) < std::pair(m_era, m_next)) {
        if (era == m_era) {
            std::for_each(records.begin(), records.end(),
                          [this](const auto &record) { note(record); });
        }
        return false;
    }
    if (m_isLoaded && era != m_era) {
        m_positions.clear();
        markSourceRecovered({m_confirmedAt, std::max(m_confirmedAt, confirmed)});
        m_observer.onStoreRestored();
    }
    const bool isAfterGap =
        era == m_era && origin == SnapshotOrigin::Store && m_observer.areRecordsRenewed();
    m_era = era;
    std::sort(records.begin(), records.end(), hasLowerOffset);
    std::map<std::string, Known> before = std::exchange(m_latest, {});
    for (protocol::TopicRecord &record : records) {
        const auto known = before.find(record.key);
        if (known != before.end()) {
            m_latest.insert(before.extract(known));
        }
        merge(std::move(record), isAfterGap);
    }
    // The keys that the snapshot lacks were deleted.
    for (auto &[key, known] : before) {
        if (known.version) {
            known.record.value.reset();
            m_latest.emplace(key, std::move(known));
        }
    }
    std::vector<protocol::TopicRecord> present;
    for (const auto &[key, known] : m_latest) {
        if (known.record.value) {
            present.push_back(known.record);
        }
    }
    std::sort(present.begin(), present.end(), hasLowerOffset);
    m_tombstoneCount = m_latest.size() - present.size();
    m_isLoaded = true;
    m_next = end;
    m_lastChangeEnd = end;
    m_historyStart = end;
    m_observer.onSnapshot(present);
    confirm(confirmed);
    return true;
}

void TopicReplica::merge(protocol::TopicRecord record, bool isAfterGap)
{
    const std::optional<protocol::RecordVersion> version = versionOf(record);
    Known &known = m_latest[record.key];
    known.outdatedVersion.reset();
    const bool isOlder = record.value && !record.restartsNumbers
        && isOutdated(known.version, !known.record.value, version);
    if (isOlder) {
        m_observer.onOutdated(record);
        record.value = isAfterGap ? std::nullopt : std::move(known.record.value);
    }
    known.version = record.restartsNumbers ? version : std::max(version, known.version);
    known.record = std::move(record);
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
            apply(record, confirmed);
        } else {
            note(record);
        }
    }
    m_next = std::max(m_next, next);
    if (m_tombstoneCount > MaxTombstones) {
        purgeTombstones();
    }
    confirm(confirmed);
}

void TopicReplica::apply(protocol::TopicRecord record, framework::TimePoint confirmed)
{
    const std::optional<protocol::RecordVersion> version = versionOf(record);
    const auto [position, isNew] = m_latest.try_emplace(record.key);
    Known &known = position->second;
    const bool wasDeleted = !isNew && !known.record.value;
    if (record.value && !record.restartsNumbers && isOutdated(known.version, wasDeleted, version)) {
        const bool isSeries = known.outdatedVersion && *known.outdatedVersion < *version;
        if (!isSeries) {
            known.outdatedSince = confirmed;
        }
        known.outdatedVersion = version;
        if (confirmed - known.outdatedSince < LateWriteTime) {
            m_observer.onOutdated(record);
            return;
        }
        record.restartsNumbers = true;
    }
    known.outdatedVersion.reset();
    known.version = record.restartsNumbers ? version : std::max(version, known.version);
    // Followers get only the latest record, and know the higher numbers still.
    record.restartsNumbers =
        record.value && (record.restartsNumbers || known.record.restartsNumbers);
    m_tombstoneCount += record.value ? 0 : 1;
    m_tombstoneCount -= wasDeleted ? 1 : 0;
    const bool isChange = m_observer.onRecord(record);
    // The observer may have retained a deleted key and report no change, but followers have
    // deleted it and need the record.
    const bool isRestored = wasDeleted && record.value;
    if (isNew || isChange || isRestored) {
        m_lastChangeEnd = record.offset.next();
        known.record = std::move(record);
        return;
    }
    known.record.value = std::move(record.value);
}

void TopicReplica::note(const protocol::TopicRecord &record)
{
    const std::optional<protocol::RecordVersion> version = versionOf(record);
    if (!version) {
        return;
    }
    const auto [position, isNew] = m_latest.try_emplace(record.key);
    Known &known = position->second;
    if (isNew) {
        // The key was deleted before the state was confirmed.
        known.record = {record.offset, record.key, std::nullopt};
        ++m_tombstoneCount;
    }
    const bool wasDeletedSince =
        !record.value && known.record.value && isOutdated(version, true, known.version);
    if (wasDeletedSince) {
        m_observer.onOutdated(known.record);
        known.record.value.reset();
        ++m_tombstoneCount;
        m_observer.onRecord(record);
    }
    if (known.version && *version <= *known.version) {
        return;
    }
    known.version = version;
    // Without a version, the offset tells that what is known was written later.
    const bool isKnownLater =
        known.record.value && !versionOf(known.record) && record.offset < known.record.offset;
    if (known.record.value && record.value && !isKnownLater) {
        known.record.value = record.value;
        m_observer.onRecord(record);
    }
}

/// Drops the older half.
void TopicReplica::purgeTombstones()
{
    std::vector<framework::LogOffset> offsets;
    for (const auto &[key, known] : m_latest) {
        if (!known.record.value) {
            offsets.push_back(known.record.offset);
        }
    }
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    const framework::LogOffset kept = *middle;
    m_tombstoneCount -= std::erase_if(m_latest, [kept](const auto &entry) {
        return !entry.second.record.value && entry.second.record.offset < kept;
    });
    m_historyStart = std::max(m_historyStart, kept);
}

void TopicReplica::confirm(framework::TimePoint confirmed)
{
    m_confirmedAt = std::max(m_confirmedAt, confirmed);
    const bool isDue =
        m_positions.empty() || m_confirmedAt - m_positions.back().confirmed >= PositionInterval;
    if (isDue) {
        m_positions.push_back({m_confirmedAt, m_next});
        if (m_positions.size() > MaxPositions) {
            m_positions.pop_front();
        }
    }
    m_observer.onConfirmed(m_confirmedAt);
}

std::optional<framework::LogOffset> TopicReplica::historyToCompare() const
{
    const bool hasVersions = std::any_of(m_latest.begin(), m_latest.end(), [](const auto &entry) {
        return entry.second.version.has_value();
    });
    if (!hasVersions && !m_observer.areRecordsRenewed()) {
        return std::nullopt;
    }
    const std::uint64_t count = m_latest.size() * ComparedReports;
    return framework::LogOffset(m_next.value() - std::min(m_next.value(), count));
}

framework::LogOffset TopicReplica::nextAt(framework::TimePoint instant) const
{
    framework::LogOffset next = m_positions.empty() ? m_next : m_positions.front().next;
    for (const Position &position : m_positions) {
        if (position.confirmed <= instant) {
            next = position.next;
        }
    }
    return next;
}

void TopicReplica::markSourceRecovered(const StoreOutage &outage)
{
    m_lastOutage = outage;
    m_observer.onSourceRecovered();
}

TopicChanges TopicReplica::changesSince(std::optional<framework::LogOffset> from) const
{
    TopicChanges changes;
    changes.next = m_next;
    changes.isComplete = !from || *from < m_historyStart;
    for (const auto &[key, known] : m_latest) {
        const bool isWanted =
            changes.isComplete ? known.record.value || known.version : known.record.offset >= *from;
        if (!isWanted) {
            continue;
        }
        changes.records.push_back(known.record);
        if (!known.record.value) {
            changes.records.back().lastVersion = known.version;
        }
    }
    std::sort(changes.records.begin(), changes.records.end(), hasLowerOffset);
    return changes;
}

} // namespace lavendertally::replication
