#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "peers/ipeerobserver.h"
#include "protocol/types/statetopic.h"
#include "replication/types/exchangelimits.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace lavendertally::framework {
class IClock;
class ILogger;
class IMetrics;
class IScheduler;
class ITimer;
struct Endpoint;
} // namespace lavendertally::framework

namespace lavendertally::peers {
class IPeerNetwork;
}

namespace lavendertally::protocol {
struct TopicQuery;
struct TopicState;
} // namespace lavendertally::protocol

namespace lavendertally::replication {

class TopicReplica;

/// Keeps copies of topics fresh from the copies of other daemons while the store cannot be read
/// from here, and answers such daemons.
class TopicExchange final : public peers::IPeerObserver
{
public:
    /// \param network and all others outlive the exchange
    TopicExchange(peers::IPeerNetwork &network, framework::IScheduler &scheduler,
                  const framework::IClock &clock, framework::ILogger &logger,
                  framework::IMetrics &metrics, const ExchangeLimits &limits = {});
    ~TopicExchange() override;

    /// \param patience age of the last read from the store after which peers are asked
    void add(protocol::StateTopic topic, TopicReplica &replica, framework::Milliseconds patience);

    /// \param seeds peers to ask while no others are known
    void start(std::vector<framework::Endpoint> seeds);

    void onMessage(const framework::DaemonId &peer, const protocol::PeerMessage &message) override;
    void onLinkLost(const framework::DaemonId &peer) override;
    void onPeerLeft(const framework::DaemonId &peer) override;

private:
    struct Topic
    {
        TopicReplica *replica = nullptr;
        framework::Milliseconds patience;
        /// Confirmation that came from a peer; a later one came from the store.
        framework::TimePoint fromPeer;
        bool usesPeers = false;
        /// Query that waits for its answer, or nothing.
        std::optional<std::uint64_t> sequence;
        framework::TimePoint askedAt;
        framework::LogOffset askedFrom;
        framework::DaemonId asked;
    };

    void tick();
    void tend(protocol::StateTopic name, Topic &topic, framework::TimePoint now);
    bool needsPeers(const Topic &topic, framework::TimePoint now) const;
    bool isUnknown() const;
    void keepSeeds(framework::TimePoint now);
    void ask(protocol::StateTopic name, Topic &topic, framework::TimePoint now);
    void answer(const framework::DaemonId &peer, const protocol::TopicQuery &query);
    void take(const framework::DaemonId &peer, const protocol::TopicState &state);

    peers::IPeerNetwork &m_network;
    framework::IScheduler &m_scheduler;
    const framework::IClock &m_clock;
    framework::ILogger &m_logger;
    framework::IMetrics &m_metrics;
    ExchangeLimits m_limits;
    std::map<protocol::StateTopic, Topic> m_topics;
    std::vector<framework::Endpoint> m_seeds;
    bool m_seedsUsed = false;
    framework::TimePoint m_started;
    std::uint64_t m_sequence = 0;
    std::size_t m_turn = 0;
    std::unique_ptr<framework::ITimer> m_timer;
};

} // namespace lavendertally::replication
