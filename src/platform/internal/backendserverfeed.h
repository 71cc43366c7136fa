#pragma once

#include "platform/internal/topicreader.h"
#include "replication/itopicobserver.h"
#include "replication/topicreplica.h"
#include "replication/types/replicatedtopic.h"

namespace lavendertally::membership {
class IBackendServerUpdates;
}

namespace lavendertally::platform {

/// Hands on the registrations of backend servers.
class BackendServerFeed final : public replication::ITopicObserver
{
public:
    BackendServerFeed(StoreClient &store, framework::IScheduler &scheduler,
                      const framework::IClock &clock, framework::ILogger &logger,
                      membership::IBackendServerUpdates &servers);

    void start() { m_reader.start(); }
    replication::ReplicatedTopic topic() { return {m_replica, m_reader}; }

    void onSnapshot(const std::vector<protocol::TopicRecord> &records) override;
    bool onRecord(const protocol::TopicRecord &record) override;
    void onConfirmed(framework::TimePoint instant) override;
    void onSourceRecovered() override;
    void onStoreRestored() override;
    std::optional<protocol::RecordVersion>
    version(const protocol::TopicRecord &record) const override;
    bool areRecordsRenewed() const override { return true; }
    void onOutdated(const protocol::TopicRecord &record) override;

private:
    StoreClient &m_store;
    const framework::IClock &m_clock;
    framework::ILogger &m_logger;
    membership::IBackendServerUpdates &m_servers;
    replication::TopicReplica m_replica{*this};
    TopicReader m_reader;
};

} // namespace lavendertally::platform
