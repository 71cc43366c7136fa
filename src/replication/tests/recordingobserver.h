#pragma once

#include "replication/itopicobserver.h"

#include <map>
#include <string>

namespace lavendertally::replication {

/// Keeps the state that a replica tells.
class RecordingObserver final : public ITopicObserver
{
public:
    void onSnapshot(const std::vector<protocol::TopicRecord> &records,
                    framework::TimePoint asked) override
    {
        state.clear();
        ++snapshots;
        onChanges(records, asked);
    }
    void onChanges(const std::vector<protocol::TopicRecord> &records,
                   framework::TimePoint asked) override
    {
        for (const protocol::TopicRecord &record : records) {
            if (record.value) {
                state[record.key] = *record.value;
            } else {
                state.erase(record.key);
            }
            ++seen;
        }
        confirmed = asked;
    }
    void onReturned() override { ++returns; }

    std::map<std::string, std::string> state;
    framework::TimePoint confirmed;
    int seen = 0;
    int snapshots = 0;
    int returns = 0;
};

} // namespace lavendertally::replication
