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
class IDaemonDirectory;
class IPeerNetwork;
} // namespace lavendertally::peers

namespace lavendertally::protocol {
struct TopicDigest;
struct TopicQuery;
struct TopicState;
} // namespace lavendertally::protocol

namespace lavendertally::replication {

class ITopicSource;
class TopicReplica;
struct ReplicatedTopic;

/// Keeps copies of topics fresh. A few daemons read the store; the others follow them by the
/// digests in their pongs, and read the store themselves only while no digest is fresh enough. A
/// daemon that is cut off from the store follows its peers in the same way.
class TopicExchange final : public peers::IPeerObserver
{
public:
    /// \param self this daemon
    /// \param network and all others outlive the exchange
    TopicExchange(framework::DaemonId self, peers::IPeerNetwork &network,
                  peers::IDaemonDirectory &directory, framework::IScheduler &scheduler,
                  const framework::IClock &clock, framework::ILogger &logger,
                  framework::IMetrics &metrics, const ExchangeLimits &limits = {});
    ~TopicExchange() override;

    /// \param patience age of what peers confirm after which the store is read
    void add(protocol::StateTopic name, const ReplicatedTopic &topic,
             framework::Milliseconds patience);

    /// \param seeds peers to ask while the store cannot be read after the start
    void start(std::vector<framework::Endpoint> seeds);

    void onMessage(const framework::DaemonId &peer, const protocol::PeerMessage &message) override;
    void onDigests(const framework::DaemonId &peer,
                   const std::vector<protocol::TopicDigest> &digests,
                   std::optional<framework::TimePoint> asked) override;
    void onOutboundLinkLost(const framework::DaemonId &peer) override;
    void onInboundLinkClosed(const framework::DaemonId &peer) override;

private:
    struct Topic
    {
        Topic(const ReplicatedTopic &topic, framework::Milliseconds time);

        TopicReplica &replica;
        ITopicSource &source;
        framework::Milliseconds patience;
        bool readsStore = true;
        framework::TimePoint readsSince;
        /// Newest confirmation by a peer.
        framework::TimePoint confirmedByPeer;
        /// Query that waits for its answer, or nothing.
        std::optional<std::uint64_t> sequence;
        framework::TimePoint askedAt;
        framework::LogOffset askedFrom;
        framework::DaemonId asked;
    };

    void tick();
    void chooseSource(protocol::StateTopic name, Topic &topic, framework::TimePoint now);
    void keepSeeds(framework::TimePoint now);
    bool isLeadingReader() const;
    std::vector<protocol::TopicDigest> digests() const;
    void compare(const framework::DaemonId &peer, Topic &topic, const protocol::TopicDigest &digest,
                 std::optional<framework::TimePoint> asked);
    void noteReturn(Topic &topic, framework::TimePoint returned,
                    framework::TimePoint unavailableSince);
    void ask(const framework::DaemonId &peer, protocol::StateTopic name, Topic &topic);
    void answer(const framework::DaemonId &peer, const protocol::TopicQuery &query);
    void take(const framework::DaemonId &peer, const protocol::TopicState &state);

    framework::DaemonId m_self;
    peers::IPeerNetwork &m_network;
    peers::IDaemonDirectory &m_directory;
    framework::IScheduler &m_scheduler;
    const framework::IClock &m_clock;
    framework::ILogger &m_logger;
    framework::IMetrics &m_metrics;
    ExchangeLimits m_limits;
    std::map<protocol::StateTopic, Topic> m_topics;
    std::vector<framework::Endpoint> m_seeds;
    bool m_seedsUsed = false;
    bool m_isLeadingReader = true;
    framework::TimePoint m_started;
    std::uint64_t m_sequence = 0;
    std::unique_ptr<framework::ITimer> m_timer;
};

} // namespace lavendertally::replication
