#pragma once

#include "framework/result.h"
#include "framework/types/ids.h"
#include "platform/internal/rolloutorderfeed.h"
#include "platform/internal/topicreader.h"
#include "replication/itopicobserver.h"
#include "replication/topicreplica.h"
#include "replication/types/replicatedtopic.h"

#include <memory>
#include <set>
#include <string>

namespace lavendertally::membership {
class IBackendServerUpdates;
}

namespace lavendertally::serving {
class IServingUpdates;
class ServingConfiguration;
} // namespace lavendertally::serving

namespace lavendertally::platform {

/// Hands on what operators write to the store: configurations, availability zones taken out, and
/// orders for rollouts.
class OperatorFeed final : public replication::ITopicObserver
{
public:
    OperatorFeed(StoreClient &store, framework::IScheduler &scheduler,
                 const framework::IClock &clock, framework::ILogger &logger,
                 framework::IMetrics &metrics, serving::IServingUpdates &serving,
                 membership::IBackendServerUpdates &servers);

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
    std::optional<protocol::RecordVersion>
    version(const protocol::TopicRecord &record) const override;
    bool areRecordsRenewed() const override { return false; }
    void onOutdated(const protocol::TopicRecord &record) override;

private:
    void publishZones();
    void apply(const protocol::TopicRecord &record);
    void applyConfiguration(const std::string &text);
    void rejectConfiguration(const std::string &text, const std::string &problem);
    /// \return the configuration, or DecodeError; a text that is decoded twice in a row is parsed
    /// once
    framework::Result<std::shared_ptr<const serving::ServingConfiguration>>
    decode(const std::string &text) const;

    framework::ILogger &m_logger;
    framework::IMetrics &m_metrics;
    StoreClient &m_store;
    serving::IServingUpdates &m_serving;
    membership::IBackendServerUpdates &m_servers;
    framework::IScheduler &m_scheduler;
    std::set<framework::AvailabilityZoneId> m_zonesOut;
    /// Zones that were out of service before the store was restored. They stay so until operators
    /// had the time to write their changes again.
    std::set<framework::AvailabilityZoneId> m_keptZones;
    std::unique_ptr<framework::ITimer> m_keptZonesTimer;
    /// Last text that was decoded, and what it says.
    mutable std::string m_decodedText;
    mutable std::shared_ptr<const serving::ServingConfiguration> m_decoded;
    RolloutOrderFeed m_rollouts;
    replication::TopicReplica m_replica{*this};
    TopicReader m_reader;
};

} // namespace lavendertally::platform
