#pragma once

#include "platform/internal/itopicobserver.h"
#include "platform/internal/topicreader.h"

namespace lavendertally::membership {
class IBackendServerUpdates;
}

namespace lavendertally::platform {

/// Hands on the registrations of backend servers.
class BackendServerFeed final : public ITopicObserver
{
public:
    BackendServerFeed(StoreClient &store, framework::IScheduler &scheduler,
                      const framework::IClock &clock, framework::ILogger &logger,
                      membership::IBackendServerUpdates &servers);

    void start() { m_reader.start(); }

    void onSnapshot(const std::vector<StoreRecord> &records, framework::TimePoint asked) override;
    void onChanges(const std::vector<StoreRecord> &records, framework::TimePoint asked) override;
    void onReturned() override;

private:
    void apply(const StoreRecord &record);

    const framework::IClock &m_clock;
    framework::ILogger &m_logger;
    membership::IBackendServerUpdates &m_servers;
    TopicReader m_reader;
};

} // namespace lavendertally::platform
