#pragma once

#include "replication/itopicobserver.h"

#include <map>
#include <string>
#include <utility>

namespace lavendertally::replication {

/// Keeps the state that a replica tells.
class RecordingObserver final : public ITopicObserver
{
public:
    void onSnapshot(const std::vector<protocol::TopicRecord> &records) override
    {
        state.clear();
        ++snapshots;
        for (const protocol::TopicRecord &record : records) {
            onRecord(record);
        }
    }
    bool onRecord(const protocol::TopicRecord &record) override
    {
        ++seen;
        if (!record.value) {
            return state.erase(record.key) > 0;
        }
        return std::exchange(state[record.key], *record.value) != *record.value;
    }
    void onConfirmed(framework::TimePoint instant) override { confirmed = instant; }
    void onSourceRecovered() override { ++returns; }

    std::map<std::string, std::string> state;
    framework::TimePoint confirmed;
    int seen = 0;
    int snapshots = 0;
    int returns = 0;
};

} // namespace lavendertally::replication
