#pragma once

#include "platform/internal/topicreader.h"
#include "replication/itopicobserver.h"
#include "replication/topicreplica.h"

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
    replication::TopicReplica &replica() { return m_replica; }

    void onSnapshot(const std::vector<protocol::TopicRecord> &records,
                    framework::TimePoint asked) override;
    void onChanges(const std::vector<protocol::TopicRecord> &records,
                   framework::TimePoint asked) override;
    void onReturned() override;

private:
    void apply(const protocol::TopicRecord &record);

    const framework::IClock &m_clock;
    framework::ILogger &m_logger;
    membership::IBackendServerUpdates &m_servers;
    replication::TopicReplica m_replica{*this};
    TopicReader m_reader;
};

} // namespace lavendertally::platform
