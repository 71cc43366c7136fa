#pragma once

#include "framework/types/timepoint.h"
#include "peers/idaemondirectory.h"
#include "peers/types/daemonregistration.h"
#include "platform/internal/topicreader.h"
#include "replication/itopicobserver.h"
#include "replication/topicreplica.h"
#include "replication/types/replicatedtopic.h"

#include <map>
#include <optional>

namespace lavendertally::platform {

/// Registers this daemon in a topic of its own and reads which others are up. Each registers again
/// at intervals; one that stops doing so is forgotten. A registration names the offset of the first
/// one, also after a restart, and the daemon's processor capacity: by these all daemons agree on an
/// order.
class DaemonFeed final : public replication::ITopicObserver, public peers::IDaemonDirectory
{
public:
    DaemonFeed(StoreClient &store, framework::IScheduler &scheduler, const framework::IClock &clock,
               framework::ILogger &logger, framework::DaemonId self,
               framework::Millicores capacity);
    ~DaemonFeed() override;

    /// \param endpoint where this daemon answers others
    void start(const framework::Endpoint &endpoint);
    /// Removes this daemon's entry; it is about to stop.
    void leave();
    replication::ReplicatedTopic topic() { return {m_replica, m_reader}; }

    const std::vector<peers::DaemonAddress> &ranking() const override { return m_ranking; }
    std::size_t limitSharerCount() const override;
    void onChange(std::function<void()> callback) override;

    void onSnapshot(const std::vector<protocol::TopicRecord> &records) override;
    bool onRecord(const protocol::TopicRecord &record) override;
    void onConfirmed(framework::TimePoint instant) override;
    void onSourceRecovered() override;
    void onStoreRestored() override;
    std::optional<protocol::RecordVersion>
    version(const protocol::TopicRecord & /*record*/) const override
    {
        // A late registration of a daemon that runs is renewed, one of a daemon that left lapses.
        return std::nullopt;
    }
    bool areRecordsRenewed() const override { return false; }
    void onOutdated(const protocol::TopicRecord & /*record*/) override { }

private:
    struct Known
    {
        peers::DaemonRegistration registration;
        framework::TimePoint heard;
        framework::Milliseconds lifetime;
    };

    void registerSelf();
    void registered(bool isDone);
    framework::Milliseconds registerInterval() const;
    void expireSilent();
    void update();

    StoreClient &m_store;
    framework::IScheduler &m_scheduler;
    const framework::IClock &m_clock;
    framework::ILogger &m_logger;
    framework::DaemonId m_self;
    framework::Millicores m_capacity;
    framework::Endpoint m_endpoint;
    bool m_isKnown = false;
    bool m_isRegistered = false;
    bool m_leaving = false;
    std::map<framework::DaemonId, Known> m_known;
    /// Offset of this daemon's own first registration, once it is known.
    std::optional<framework::LogOffset> m_joined;
    std::vector<peers::DaemonAddress> m_ranking;
    std::vector<std::function<void()>> m_listeners;
    StoreClient::Call m_append;
    std::unique_ptr<framework::ITimer> m_registerTimer;
    replication::TopicReplica m_replica{*this};
    TopicReader m_reader;
};

} // namespace lavendertally::platform
