#pragma once

#include "framework/types/ids.h"
#include "platform/internal/rolloutorderfeed.h"
#include "platform/internal/topicreader.h"
#include "replication/itopicobserver.h"
#include "replication/topicreplica.h"
#include "replication/types/replicatedtopic.h"

#include <memory>
#include <set>

namespace lavendertally::membership {
class IBackendServerUpdates;
}

namespace lavendertally::serving {
class IServingUpdates;
}

namespace lavendertally::platform {

/// Hands on what operators write to the store: configurations, availability zones taken out, and
/// orders for rollouts.
class OperatorFeed final : public replication::ITopicObserver
{
public:
    OperatorFeed(StoreClient &store, framework::IScheduler &scheduler,
                 const framework::IClock &clock, framework::ILogger &logger,
                 serving::IServingUpdates &serving, membership::IBackendServerUpdates &servers);

    ~OperatorFeed() override;
    OperatorFeed(const OperatorFeed &) = delete;
    OperatorFeed &operator=(const OperatorFeed &) = delete;

    void start() { m_reader.start(); }
    replication::ReplicatedTopic topic() { return {m_replica, m_reader}; }
    /// \param orders outlives the feed
    void setRolloutOrders(rollout::IRolloutOrders &orders) { m_rollouts.setOrders(&orders); }

    void onSnapshot(const std::vector<protocol::TopicRecord> &records) override;
    bool onRecord(const protocol::TopicRecord &record) override;
    void onConfirmed(framework::TimePoint instant) override;
    void onSourceRecovered() override { }
    void onStoreRestored() override;
    bool isNewer(const protocol::TopicRecord &known,
                 const protocol::TopicRecord &restored) const override;

private:
    void publishZones();
    void apply(const protocol::TopicRecord &record);
    void applyConfiguration(const std::string &text);

    framework::ILogger &m_logger;
    serving::IServingUpdates &m_serving;
    membership::IBackendServerUpdates &m_servers;
    framework::IScheduler &m_scheduler;
    std::set<framework::AvailabilityZoneId> m_zonesOut;
    /// Zones that were out of service before the store was restored. They stay so until operators
    /// had the time to write their changes again.
    std::set<framework::AvailabilityZoneId> m_keptZones;
    std::unique_ptr<framework::ITimer> m_keptZonesTimer;
    RolloutOrderFeed m_rollouts;
    replication::TopicReplica m_replica{*this};
    TopicReader m_reader;
};

} // namespace lavendertally::platform
