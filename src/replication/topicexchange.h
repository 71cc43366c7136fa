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
struct StoreOutage;

/// Keeps replicas of topics up to date by anti-entropy between daemons. The first daemons of the
/// ranking that can be reached read the store. The others compare the digests in their pongs with
/// their own replicas, query what they lack, and read the store themselves only while no peer's
/// state is recent enough. A leading daemon that cannot reach the store follows its peers in the
/// same way.
class TopicExchange final : public peers::IPeerObserver
{
public:
    /// \param self id of this daemon
    /// \param network outlives the exchange, as do the directory and the services after it
    TopicExchange(framework::DaemonId self, peers::IPeerNetwork &network,
                  peers::IDaemonDirectory &directory, framework::IScheduler &scheduler,
                  const framework::IClock &clock, framework::ILogger &logger,
                  framework::IMetrics &metrics, const ExchangeLimits &limits = {});
    ~TopicExchange() override;

    /// Adds a topic; called before start().
    /// \param maxStaleness age of the newest confirmation by a peer at which this daemon reads the
    /// store itself
    void add(protocol::StateTopic name, const ReplicatedTopic &topic,
             framework::Milliseconds maxStaleness);

    /// \param seeds peers to link while a topic has not been loaded or no other daemon is known
    void start(std::vector<framework::Endpoint> seeds);

    void onMessage(const framework::DaemonId &peer, const protocol::PeerMessage &message) override;
    void onDigests(const framework::DaemonId &peer,
                   const std::vector<protocol::TopicDigest> &digests,
                   std::optional<framework::TimePoint> pingSent) override;
    void onCrashFingerprint(const framework::DaemonId &peer,
                            protocol::EvidenceFingerprint fingerprint) override;
    void onOutboundLinkLost(const framework::DaemonId &peer) override;
    void onInboundLinkClosed(const framework::DaemonId &peer) override;

private:
    struct Topic
    {
        Topic(const ReplicatedTopic &topic, framework::Milliseconds staleness);

        TopicReplica &replica;
        ITopicSource &source;
        framework::Milliseconds maxStaleness;
        bool readsStore = true;
        /// When \c readsStore last changed.
        framework::TimePoint modeChangedAt;
        /// Newest instant before which a peer has confirmed the state.
        framework::TimePoint peerConfirmedAt;
        /// Sequence number of the query in flight, if any.
        std::optional<std::uint64_t> pendingQuery;
        framework::TimePoint queriedAt;
        framework::LogOffset queriedFrom;
        framework::DaemonId queriedPeer;
        /// Whether a peer has been asked for the history before the state was loaded from the
        /// store.
        bool hasComparedHistory = false;
        /// End of the last outage that a peer reported and this daemon ignored.
        framework::TimePoint ignoredOutageEnd;
    };

    void tick();
    void chooseSource(protocol::StateTopic name, Topic &topic, framework::TimePoint now);
    void updateSeedLinks(framework::TimePoint now);
    void updatePosition();
    bool isInformed(const framework::DaemonId &peer) const;
    framework::Milliseconds fallbackDelay(framework::TimePoint now) const;
    std::vector<protocol::TopicDigest> digests() const;
    void applyDigest(const framework::DaemonId &peer, Topic &topic,
                     const protocol::TopicDigest &digest,
                     std::optional<framework::TimePoint> pingSent);
    void noteOutage(const framework::DaemonId &peer, protocol::StateTopic name, Topic &topic,
                    const StoreOutage &outage);
    void sendQuery(const framework::DaemonId &peer, protocol::StateTopic name, Topic &topic);
    void answerQuery(const framework::DaemonId &peer, const protocol::TopicQuery &query);
    void applyState(const framework::DaemonId &peer, const protocol::TopicState &state);

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
    bool m_isLinkedToSeeds = false;
    bool m_isLeadingReader = true;
    /// Number of daemons before this one in the ranking that may read the store for it: neither
    /// unreachable nor known to have stale state.
    std::size_t m_sourcesAhead = 0;
    framework::TimePoint m_peerHeardAt;
    /// Instants before which linked peers have confirmed their state.
    std::map<framework::DaemonId, std::map<protocol::StateTopic, framework::TimePoint>>
        m_peerConfirmations;
    framework::TimePoint m_started;
    std::uint64_t m_lastSequence = 0;
    std::unique_ptr<framework::ITimer> m_timer;
};

} // namespace lavendertally::replication
