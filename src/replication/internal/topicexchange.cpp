#include "replication/topicexchange.h"

#include "framework/iclock.h"
#include "framework/ilogger.h"
#include "framework/imetrics.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "framework/types/endpoint.h"
#include "peers/ipeernetwork.h"
#include "replication/topicreplica.h"
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

TopicExchange::TopicExchange(peers::IPeerNetwork &network, framework::IScheduler &scheduler,
                             const framework::IClock &clock, framework::ILogger &logger,
                             framework::IMetrics &metrics, const ExchangeLimits &limits)
    : m_network(network), m_scheduler(scheduler), m_clock(clock), m_logger(logger),
      m_metrics(metrics), m_limits(limits)
{
    m_network.addObserver(*this);
}

TopicExchange::~TopicExchange() = default;

void TopicExchange::add(protocol::StateTopic topic, TopicReplica &replica,
                        framework::Milliseconds patience)
{
    m_topics[topic].replica = &replica;
    m_topics[topic].patience = patience;
}

void TopicExchange::start(std::vector<framework::Endpoint> seeds)
{
    m_seeds = std::move(seeds);
    m_started = m_clock.now();
    m_timer = m_scheduler.callAfter(m_limits.startPatience, [this] { tick(); });
}

void TopicExchange::tick()
{
    const framework::TimePoint now = m_clock.now();
    keepSeeds(now);
    for (auto &[name, topic] : m_topics) {
        tend(name, topic, now);
    }
    m_timer = m_scheduler.callAfter(m_limits.interval, [this] { tick(); });
}

bool TopicExchange::isUnknown() const
{
    return std::any_of(m_topics.begin(), m_topics.end(),
                       [](const auto &entry) { return !entry.second.replica->isKnown(); });
}

/// Seeds are linked only while something is unknown: after that the other daemons are known too.
void TopicExchange::keepSeeds(framework::TimePoint now)
{
    const bool wanted = isUnknown() && now - m_started >= m_limits.startPatience;
    if (wanted == m_seedsUsed) {
        return;
    }
    m_seedsUsed = wanted;
    m_network.connectToSeeds(wanted ? m_seeds : std::vector<framework::Endpoint>());
    if (wanted) {
        m_logger.warning("nothing known from the store yet; asks seed peers",
                         {{"seeds", std::to_string(m_seeds.size())}});
    }
}

bool TopicExchange::needsPeers(const Topic &topic, framework::TimePoint now) const
{
    if (!topic.replica->isKnown()) {
        return true;
    }
    const bool storeIsNewest = topic.replica->confirmedAt() > topic.fromPeer;
    return !storeIsNewest || now - topic.replica->confirmedAt() > topic.patience;
}

void TopicExchange::tend(protocol::StateTopic name, Topic &topic, framework::TimePoint now)
{
    const bool needed = needsPeers(topic, now);
    if (needed != topic.usesPeers) {
        topic.usesPeers = needed;
        topic.sequence.reset();
        m_logger.info(needed ? "store not read in time; asks peers for its state"
                             : "store read again; peers are not asked any more",
                      {{"topic", topicName(name)},
                       {"offset", std::to_string(topic.replica->next().value())}});
    }
    const bool waits = topic.sequence && now - topic.askedAt <= m_limits.answerTimeout;
    if (needed && !waits) {
        ask(name, topic, now);
    }
}

void TopicExchange::ask(protocol::StateTopic name, Topic &topic, framework::TimePoint now)
{
    topic.sequence.reset();
    const std::vector<framework::DaemonId> peers = m_network.linkedPeers();
    if (peers.empty()) {
        return;
    }
    protocol::TopicQuery query;
    query.topic = name;
    query.sequence = ++m_sequence;
    if (topic.replica->isKnown()) {
        query.from = topic.replica->next();
    }
    topic.asked = peers[m_turn++ % peers.size()];
    topic.sequence = query.sequence;
    topic.askedAt = now;
    topic.askedFrom = topic.replica->next();
    if (!m_network.send(topic.asked, query)) {
        topic.sequence.reset();
    }
}

void TopicExchange::onMessage(const framework::DaemonId &peer, const protocol::PeerMessage &message)
{
    if (const auto *query = std::get_if<protocol::TopicQuery>(&message)) {
        answer(peer, *query);
    } else if (const auto *state = std::get_if<protocol::TopicState>(&message)) {
        take(peer, *state);
    }
}

void TopicExchange::answer(const framework::DaemonId &peer, const protocol::TopicQuery &query)
{
    const auto found = m_topics.find(query.topic);
    if (found == m_topics.end() || !found->second.replica->isKnown()) {
        return;
    }
    const TopicReplica &replica = *found->second.replica;
    TopicChanges changes = replica.changesSince(query.from);
    protocol::TopicState state;
    state.topic = query.topic;
    state.sequence = query.sequence;
    state.isComplete = changes.isComplete;
    state.records = std::move(changes.records);
    state.next = changes.next;
    state.age = m_clock.now() - replica.confirmedAt();
    m_network.send(peer, state);
    m_metrics.increment("lavendertally_peer_states_given_total",
                        {{"topic", topicName(query.topic)}});
}

/// The age counts from when the query was sent, so that the time on the way makes the state older
/// than it is, not newer.
void TopicExchange::take(const framework::DaemonId &peer, const protocol::TopicState &state)
{
    const auto found = m_topics.find(state.topic);
    if (found == m_topics.end() || found->second.sequence != state.sequence) {
        return;
    }
    Topic &topic = found->second;
    topic.sequence.reset();
    TopicReplica &replica = *topic.replica;
    const framework::TimePoint confirmed = topic.askedAt - state.age;
    if (replica.isKnown() && confirmed <= replica.confirmedAt()) {
        return;
    }
    if (replica.isKnown() && m_clock.now() - replica.confirmedAt() > topic.patience) {
        replica.sourceReturned();
    }
    if (state.isComplete) {
        replica.replace(state.records, state.next, confirmed);
    } else if (replica.isKnown()) {
        replica.append(state.records, topic.askedFrom, state.next, confirmed);
    }
    if (replica.confirmedAt() == confirmed) {
        topic.fromPeer = confirmed;
    }
    m_metrics.increment("lavendertally_peer_states_taken_total",
                        {{"topic", topicName(state.topic)}});
    if (state.records.empty()) {
        return;
    }
    m_logger.info("state taken from a peer",
                  {{"topic", topicName(state.topic)},
                   {"peer", peer.value()},
                   {"age_ms", std::to_string(state.age.value())},
                   {"records", std::to_string(state.records.size())},
                   {"offset", std::to_string(replica.next().value())}});
}

void TopicExchange::onLinkLost(const framework::DaemonId &peer)
{
    for (auto &[name, topic] : m_topics) {
        if (topic.asked == peer) {
            topic.sequence.reset();
        }
    }
}

void TopicExchange::onPeerLeft(const framework::DaemonId & /*peer*/)
{
    // Only links that this daemon keeps carry its queries.
}

} // namespace lavendertally::replication
