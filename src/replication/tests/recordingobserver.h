#pragma once

#include "replication/itopicobserver.h"

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace lavendertally::replication {

/// Applies the delivered records to a map and counts the calls.
class RecordingObserver final : public ITopicObserver
{
public:
    void onSnapshot(const std::vector<protocol::TopicRecord> &records) override
    {
        state.clear();
        ++snapshotCount;
        for (const protocol::TopicRecord &record : records) {
            onRecord(record);
        }
    }
    bool onRecord(const protocol::TopicRecord &record) override
    {
        ++recordCount;
        if (!record.value) {
            return state.erase(record.key) > 0;
        }
        return std::exchange(state[record.key], *record.value) != *record.value;
    }
    void onConfirmed(framework::TimePoint instant) override { confirmed = instant; }
    void onSourceRecovered() override { ++recoveryCount; }
    void onStoreRestored() override { ++restoreCount; }
    std::optional<protocol::RecordVersion>
    version(const protocol::TopicRecord &record) const override
    {
        return readVersion && record.value ? readVersion(*record.value) : std::nullopt;
    }
    bool areRecordsRenewed() const override { return isRenewed; }
    void onOutdated(const protocol::TopicRecord & /*record*/) override { ++outdatedCount; }

    bool isRenewed = false;
    /// Reads the version from a value; records have none without it.
    std::function<std::optional<protocol::RecordVersion>(const std::string &)> readVersion;

    std::map<std::string, std::string> state;
    framework::TimePoint confirmed;
    int recordCount = 0;
    int snapshotCount = 0;
    int recoveryCount = 0;
    int restoreCount = 0;
    int outdatedCount = 0;
};

} // namespace lavendertally::replication
