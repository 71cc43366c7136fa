#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"
#include "platform/internal/storeclient.h"
#include "platform/internal/topicpace.h"
#include "replication/itopicsource.h"
#include "replication/types/sourcemode.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lavendertally::framework {
class IClock;
class ILogger;
class IScheduler;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::replication {
class TopicReplica;
}

namespace lavendertally::platform {

enum class StoreError;

/// Keeps the copy of one keyed topic fresh from the store: its newest records first, then every
/// change. Starts over with the newest records when the history it needs has been dropped, or when
/// the store was restored from a copy.
class TopicReader final : public replication::ITopicSource
{
public:
    TopicReader(StoreClient &store, framework::IScheduler &scheduler,
                const framework::IClock &clock, framework::ILogger &logger, std::string topic,
                TopicPace pace, replication::TopicReplica &replica);
    ~TopicReader() override;
    TopicReader(const TopicReader &) = delete;
    TopicReader &operator=(const TopicReader &) = delete;

    void start();
    void setMode(replication::SourceMode mode) override;
    /// Ends the pause before the next read.
    void readSoon();

private:
    void readNewest(const std::string &after);
    void readChanges();
    void onPage(framework::Result<StorePage> page);
    void onChanges(framework::Result<StoreChanges> changes);
    void succeeded();
    void failed(StoreError error, std::function<void()> retry);
    /// \return pause before a call is repeated; grows until one succeeds
    framework::Milliseconds nextRetryDelay();
    void later(framework::Milliseconds delay, std::function<void()> step);
    void runStep();

    StoreClient &m_store;
    framework::IScheduler &m_scheduler;
    const framework::IClock &m_clock;
    framework::ILogger &m_logger;
    std::string m_topic;
    TopicPace m_pace;
    replication::TopicReplica &m_replica;
    StoreClient::Call m_call;
    std::unique_ptr<framework::ITimer> m_timer;
    replication::SourceMode m_mode = replication::SourceMode::Leading;
    framework::Milliseconds m_retryDelay;
    /// What is done after a pause, or once the store is to be read.
    std::function<void()> m_step;
    bool m_isStepDue = false;
    /// Whether this daemon has followed its peers, which pass no heartbeats on, since its last read
    /// of changes.
    bool m_hasFollowed = false;
    std::vector<protocol::TopicRecord> m_snapshot;
    framework::LogOffset m_snapshotEnd;
    framework::StoreEra m_snapshotEra;
    framework::LogOffset m_from;
    /// Offset at which the last read found its history dropped; nothing after a read that
    /// succeeded.
    std::optional<framework::LogOffset> m_droppedAt;
    framework::TimePoint m_asked;
    framework::TimePoint m_snapshotAsked;
    framework::TimePoint m_lastSuccess;
    bool m_lost = false;
};

} // namespace lavendertally::platform
