#include "replication/topicexchange.h"

#include "framework/iclock.h"
#include "framework/ilogger.h"
#include "framework/imetrics.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "framework/types/endpoint.h"
#include "peers/idaemondirectory.h"
#include "peers/ipeernetwork.h"
#include "replication/itopicsource.h"
#include "replication/topicreplica.h"
#include "replication/types/replicatedtopic.h"
#include "replication/types/sourcemode.h"
#include "replication/types/storeoutage.h"
#include "replication/types/topicchanges.h"

#include <algorithm>
#include <utility>

namespace lavendertally::replication {

namespace {

const char *topicName(protocol::StateTopic topic)
{
    switch (topic) {
    case protocol::StateTopic::Operators:
        return "operators";
    case protocol::StateTopic::BackendServers:
        return "backend_servers";
    case protocol::StateTopic::Daemons:
        return "daemons";
    }
    return "unknown";
}

} // namespace

TopicExchange::Topic::Topic(const ReplicatedTopic &topic, framework::Milliseconds staleness)
    : replica(topic.replica), source(topic.source), maxStaleness(staleness)
{ }

TopicExchange::TopicExchange(framework::DaemonId self, peers::IPeerNetwork &network,
                             peers::IDaemonDirectory &directory, framework::IScheduler &scheduler,
                             const framework::IClock &clock, framework::ILogger &logger,
                             framework::IMetrics &metrics, const ExchangeLimits &limits)
    : m_self(std::move(self)), m_network(network), m_directory(directory), m_scheduler(scheduler),
      m_clock(clock), m_logger(logger), m_metrics(metrics), m_limits(limits)
{
    m_network.addObserver(*this);
    m_network.setDigests([this] { return digests(); });
    m_network.setIsInformed([this](const framework::DaemonId &peer) { return isInformed(peer); });
    m_directory.onChange([this] { updatePosition(); });
}

TopicExchange::~TopicExchange() = default;

void TopicExchange::add(protocol::StateTopic name, const ReplicatedTopic &topic,
                        framework::Milliseconds maxStaleness)
{
    m_topics.emplace(name, Topic(topic, maxStaleness));
}

void TopicExchange::start(std::vector<framework::Endpoint> seeds)
{
    m_seeds = std::move(seeds);
    m_started = m_clock.now();
    tick();
}

void TopicExchange::tick()
{
    const framework::TimePoint now = m_clock.now();
    updateSeedLinks(now);
    updatePosition();
    for (auto &[name, topic] : m_topics) {
        chooseSource(name, topic, now);
    }
    m_timer = m_scheduler.callAfter(m_limits.checkInterval, [this] { tick(); });
}

void TopicExchange::updatePosition()
{
    m_sourcesAhead = 0;
    std::size_t reachableAhead = 0;
    for (const peers::DaemonAddress &daemon : m_directory.ranking()) {
        if (daemon.daemon == m_self) {
            break;
        }
        const bool isReachable = !m_network.isUnreachable(daemon.daemon);
        const bool isStale =
            m_peerConfirmations.contains(daemon.daemon) && !isInformed(daemon.daemon);
        reachableAhead += isReachable ? 1 : 0;
        m_sourcesAhead += isReachable && !isStale ? 1 : 0;
    }
    m_isLeadingReader = reachableAhead < m_limits.storeReaderCount;
}

/// \return whether the peer has confirmed all topics recently
bool TopicExchange::isInformed(const framework::DaemonId &peer) const
{
    const auto found = m_peerConfirmations.find(peer);
    if (found == m_peerConfirmations.end()) {
        return false;
    }
    const framework::TimePoint now = m_clock.now();
    return std::all_of(m_topics.begin(), m_topics.end(), [&](const auto &entry) {
        const auto confirmed = found->second.find(entry.first);
        return confirmed != found->second.end()
            && now - confirmed->second <= entry.second.maxStaleness;
    });
}

/// The daemon after those that read the store is linked by all others, too, and replaces them
/// without delay.
framework::Milliseconds TopicExchange::fallbackDelay(framework::TimePoint now) const
{
    if (now - m_peerHeardAt > m_limits.peerSilence || m_sourcesAhead <= m_limits.storeReaderCount) {
        return framework::Milliseconds(0);
    }
    const std::size_t candidatesAhead = m_sourcesAhead - m_limits.storeReaderCount;
    return std::min(m_limits.fallbackStep * static_cast<std::int64_t>(candidatesAhead),
                    m_limits.maxFallbackDelay);
}

void TopicExchange::chooseSource(protocol::StateTopic name, Topic &topic, framework::TimePoint now)
{
    const framework::Milliseconds age = now - topic.peerConfirmedAt;
    const bool isStale = !topic.replica.isLoaded() || age > topic.maxStaleness + fallbackDelay(now);
    const bool isInMinReadTime =
        topic.readsStore && now - topic.modeChangedAt < m_limits.minReadTime;
    const bool reads = m_isLeadingReader || isStale || isInMinReadTime;
    const SourceMode mode = m_isLeadingReader ? SourceMode::Leading
        : reads                               ? SourceMode::Fallback
                                              : SourceMode::Off;
    if (reads == topic.readsStore) {
        topic.source.setMode(mode);
        return;
    }
    topic.readsStore = reads;
    topic.modeChangedAt = now;
    topic.source.setMode(mode);
    m_logger.info(reads ? "reading topic from the store" : "following peers instead of the store",
                  {{"topic", topicName(name)},
                   {"offset", std::to_string(topic.replica.next().value())},
                   {"peer_age_ms", std::to_string(age.value())},
                   {"leading", m_isLeadingReader ? "yes" : "no"}});
}

/// Keeps links to the seed peers only while a topic has not been loaded or no other daemon is
/// known.
void TopicExchange::updateSeedLinks(framework::TimePoint now)
{
    const bool isTopicMissing =
        std::any_of(m_topics.begin(), m_topics.end(),
                    [](const auto &entry) { return !entry.second.replica.isLoaded(); });
    const bool isAlone = m_directory.ranking().size() <= 1;
    const bool wanted =
        (isTopicMissing || isAlone) && now - m_started >= m_limits.seedDelay && !m_seeds.empty();
    if (wanted == m_isLinkedToSeeds) {
        return;
    }
    m_isLinkedToSeeds = wanted;
    m_network.connectToSeeds(wanted ? m_seeds : std::vector<framework::Endpoint>());
    if (wanted) {
        m_logger.info(
            "connecting to seed peers",
            {{"seeds", std::to_string(m_seeds.size())},
             {"reason", isTopicMissing ? "store not read yet" : "no other daemon known"}});
    }
}

std::vector<protocol::TopicDigest> TopicExchange::digests() const
{
    const framework::TimePoint now = m_clock.now();
    std::vector<protocol::TopicDigest> result;
    for (const auto &[name, topic] : m_topics) {
        const TopicReplica &replica = topic.replica;
        if (!replica.isLoaded()) {
            continue;
        }
        protocol::TopicDigest digest{name,           replica.lastChangeEnd(),
                                     replica.next(), now - replica.confirmedAt(),
                                     std::nullopt,   {},
                                     replica.era()};
        const StoreOutage &outage = replica.lastOutage();
        if (now - outage.ended < m_limits.recoveryNoticeTime) {
            digest.sinceRecovery = now - outage.ended;
            digest.outage = outage.length();
        }
        result.push_back(digest);
    }
    return result;
}

void TopicExchange::onDigests(const framework::DaemonId &peer,
                              const std::vector<protocol::TopicDigest> &digests,
                              std::optional<framework::TimePoint> pingSent)
{
    if (!digests.empty()) {
        m_peerHeardAt = m_clock.now();
    }
    for (const protocol::TopicDigest &digest : digests) {
        const auto found = m_topics.find(digest.topic);
        if (found != m_topics.end()) {
            applyDigest(peer, found->second, digest, pingSent);
            if (pingSent && digest.era >= found->second.replica.era()) {
                m_peerConfirmations[peer][digest.topic] = *pingSent - digest.age;
            }
        }
    }
}

/// Counts the age from when the ping was sent, so that network delay makes the state seem older
/// than it is, never newer.
void TopicExchange::applyDigest(const framework::DaemonId &peer, Topic &topic,
                                const protocol::TopicDigest &digest,
                                std::optional<framework::TimePoint> pingSent)
{
    TopicReplica &replica = topic.replica;
    if (replica.isLoaded() && digest.era < replica.era()) {
        // The peer has not noticed yet that the store was restored.
        return;
    }
    if (pingSent && digest.sinceRecovery) {
        const framework::TimePoint ended = *pingSent - *digest.sinceRecovery;
        noteOutage(peer, digest.topic, topic, {ended - digest.outage, ended});
    }
    const bool isOutdated =
        std::pair(replica.era(), replica.next()) < std::pair(digest.era, digest.lastChangeEnd);
    const bool comparesHistory = !topic.hasComparedHistory && replica.historyToCompare();
    if (!replica.isLoaded() || isOutdated || comparesHistory) {
        sendQuery(peer, digest.topic, topic);
        return;
    }
    if (!pingSent) {
        return;
    }
    const framework::TimePoint confirmed = *pingSent - digest.age;
    topic.peerConfirmedAt = std::max(topic.peerConfirmedAt, confirmed);
    if (confirmed > replica.confirmedAt()) {
        replica.append({}, replica.next(), digest.next, confirmed, digest.era);
    }
}

/// Registrations that expired during an outage of the store may be renewed after it, so all daemons
/// grant the same grace period as the one that has seen it, which may not be the first one to read
/// the store again. An outage in which this daemon, or another that it heard from, has read the
/// store was trouble of the peer alone.
void TopicExchange::noteOutage(const framework::DaemonId &peer, protocol::StateTopic name,
                               Topic &topic, const StoreOutage &outage)
{
    TopicReplica &replica = topic.replica;
    const framework::TimePoint lastEnd =
        std::max(replica.lastOutage().ended, topic.ignoredOutageEnd);
    if (!replica.isLoaded() || outage.ended - lastEnd <= m_limits.recoveryMergeWindow) {
        return;
    }
    const bool wasRead = replica.confirmedAt() > outage.began + m_limits.peerOutageMargin;
    const bool isIgnored = wasRead || outage.length() < MinStoreOutage;
    m_logger.info(isIgnored
                      ? "outage of the store that a peer reports is ignored"
                      : "store was away; registrations that lapsed meanwhile are kept for a while",
                  {{"topic", topicName(name)},
                   {"evidence", wasRead ? "store was read meanwhile" : "reported by a peer"},
                   {"peer", peer.value()},
                   {"away_ms", std::to_string(outage.length().value())},
                   {"age_ms", std::to_string((m_clock.now() - replica.confirmedAt()).value())}});
    if (isIgnored) {
        topic.ignoredOutageEnd = outage.ended;
        return;
    }
    replica.markSourceRecovered(outage);
}

void TopicExchange::sendQuery(const framework::DaemonId &peer, protocol::StateTopic name,
                              Topic &topic)
{
    const framework::TimePoint now = m_clock.now();
    if (topic.pendingQuery && now - topic.queriedAt <= m_limits.queryTimeout) {
        return;
    }
    protocol::TopicQuery query;
    query.topic = name;
    query.sequence = ++m_lastSequence;
    if (topic.replica.isLoaded()) {
        query.from = topic.replica.next();
        query.era = topic.replica.era();
        if (!topic.hasComparedHistory) {
            query.from = topic.replica.historyToCompare().value_or(*query.from);
        }
    }
    topic.queriedPeer = peer;
    topic.pendingQuery = query.sequence;
    topic.queriedAt = now;
    topic.queriedFrom = query.from.value_or(topic.replica.next());
    if (!m_network.send(peer, query)) {
        topic.pendingQuery.reset();
    }
}

void TopicExchange::onMessage(const framework::DaemonId &peer, const protocol::PeerMessage &message)
{
    if (const auto *query = std::get_if<protocol::TopicQuery>(&message)) {
        answerQuery(peer, *query);
    } else if (const auto *state = std::get_if<protocol::TopicState>(&message)) {
        applyState(peer, *state);
    }
}

void TopicExchange::answerQuery(const framework::DaemonId &peer, const protocol::TopicQuery &query)
{
    const auto found = m_topics.find(query.topic);
    if (found == m_topics.end() || !found->second.replica.isLoaded()) {
        return;
    }
    const TopicReplica &replica = found->second.replica;
    const bool isSameEra = query.era == replica.era();
    TopicChanges changes = replica.changesSince(isSameEra ? query.from : std::nullopt);
    protocol::TopicState state;
    state.topic = query.topic;
    state.sequence = query.sequence;
    state.isComplete = changes.isComplete;
    state.records = std::move(changes.records);
    state.next = changes.next;
    state.era = replica.era();
    state.age = m_clock.now() - replica.confirmedAt();
    m_network.send(peer, state);
    m_metrics.increment("lavendertally_peer_states_given_total",
                        {{"topic", topicName(query.topic)}});
}

void TopicExchange::applyState(const framework::DaemonId &peer, const protocol::TopicState &state)
{
    const auto found = m_topics.find(state.topic);
    if (found == m_topics.end() || found->second.pendingQuery != state.sequence) {
        return;
    }
    Topic &topic = found->second;
    TopicReplica &replica = topic.replica;
    topic.pendingQuery.reset();
    const framework::TimePoint confirmed = topic.queriedAt - state.age;
    if (state.era < replica.era()) {
        return;
    }
    topic.hasComparedHistory = true;
    if (state.isComplete) {
        replica.replace(state.records, state.next, confirmed, state.era);
    } else {
        replica.append(state.records, topic.queriedFrom, state.next, confirmed, state.era);
    }
    topic.peerConfirmedAt = std::max(topic.peerConfirmedAt, confirmed);
    m_metrics.increment("lavendertally_peer_states_taken_total",
                        {{"topic", topicName(state.topic)}});
    if (!topic.readsStore || state.isComplete) {
        m_logger.info("applied topic state from a peer",
                      {{"topic", topicName(state.topic)},
                       {"peer", peer.value()},
                       {"age_ms", std::to_string(state.age.value())},
                       {"records", std::to_string(state.records.size())},
                       {"era", std::to_string(state.era.value())},
                       {"offset", std::to_string(replica.next().value())}});
    }
}

void TopicExchange::onCrashFingerprint(const framework::DaemonId & /*peer*/,
                                       protocol::EvidenceFingerprint /*fingerprint*/)
{
    // Evidence of crashes is no topic of the store.
}

void TopicExchange::onOutboundLinkLost(const framework::DaemonId &peer)
{
    m_peerConfirmations.erase(peer);
    for (auto &[name, topic] : m_topics) {
        if (topic.queriedPeer == peer) {
            topic.pendingQuery.reset();
        }
    }
}

void TopicExchange::onInboundLinkClosed(const framework::DaemonId & /*peer*/)
{
    // Queries travel on outbound links only, whose loss onOutboundLinkLost() handles.
}

} // namespace lavendertally::replication
