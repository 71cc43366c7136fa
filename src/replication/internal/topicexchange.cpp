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

TopicExchange::Topic::Topic(const ReplicatedTopic &topic, framework::Milliseconds time)
    : replica(topic.replica), source(topic.source), patience(time)
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
    m_directory.onChange([this] { m_isLeadingReader = isLeadingReader(); });
}

TopicExchange::~TopicExchange() = default;

void TopicExchange::add(protocol::StateTopic name, const ReplicatedTopic &topic,
                        framework::Milliseconds patience)
{
    m_topics.emplace(name, Topic(topic, patience));
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
    keepSeeds(now);
    for (auto &[name, topic] : m_topics) {
        chooseSource(name, topic, now);
    }
    m_timer = m_scheduler.callAfter(m_limits.interval, [this] { tick(); });
}

bool TopicExchange::isLeadingReader() const
{
    const std::vector<peers::DaemonAddress> &ranking = m_directory.ranking();
    const auto end = ranking.begin()
        + static_cast<std::ptrdiff_t>(std::min(m_limits.storeReaders, ranking.size()));
    return std::any_of(ranking.begin(), end,
                       [this](const auto &daemon) { return daemon.daemon == m_self; });
}

void TopicExchange::chooseSource(protocol::StateTopic name, Topic &topic, framework::TimePoint now)
{
    const framework::Milliseconds age = now - topic.confirmedByPeer;
    const bool isLate = !topic.replica.isKnown() || age > topic.patience;
    const bool isSettled = topic.readsStore && now - topic.readsSince < m_limits.minActive;
    const bool reads = m_isLeadingReader || isLate || isSettled;
    const SourceMode mode = m_isLeadingReader ? SourceMode::Leading
        : reads                               ? SourceMode::Fallback
                                              : SourceMode::Off;
    if (reads == topic.readsStore) {
        topic.source.setMode(mode);
        return;
    }
    topic.readsStore = reads;
    topic.readsSince = now;
    topic.source.setMode(mode);
    m_logger.info(reads ? "reads a topic from the store" : "follows peers instead of the store",
                  {{"topic", topicName(name)},
                   {"offset", std::to_string(topic.replica.next().value())},
                   {"peer_age_ms", std::to_string(age.value())},
                   {"leading", m_isLeadingReader ? "yes" : "no"}});
}

/// Seeds are linked only while something is unknown, the other daemons among it.
void TopicExchange::keepSeeds(framework::TimePoint now)
{
    const bool isUnknown = std::any_of(m_topics.begin(), m_topics.end(), [](const auto &entry) {
        return !entry.second.replica.isKnown();
    });
    const bool isAlone = m_directory.ranking().size() <= 1;
    const bool wanted =
        (isUnknown || isAlone) && now - m_started >= m_limits.startPatience && !m_seeds.empty();
    if (wanted == m_seedsUsed) {
        return;
    }
    m_seedsUsed = wanted;
    m_network.connectToSeeds(wanted ? m_seeds : std::vector<framework::Endpoint>());
    if (wanted) {
        m_logger.info("links seed peers",
                      {{"seeds", std::to_string(m_seeds.size())},
                       {"reason", isUnknown ? "store not read yet" : "no other daemon known"}});
    }
}

std::vector<protocol::TopicDigest> TopicExchange::digests() const
{
    const framework::TimePoint now = m_clock.now();
    std::vector<protocol::TopicDigest> result;
    for (const auto &[name, topic] : m_topics) {
        const TopicReplica &replica = topic.replica;
        if (!replica.isKnown()) {
            continue;
        }
        protocol::TopicDigest digest{
            name, replica.changed(), replica.next(), now - replica.confirmedAt(), std::nullopt, {}};
        if (now - replica.recoveredAt() < m_limits.returnNotice) {
            digest.returned = now - replica.recoveredAt();
            digest.away = replica.recoveredAt() - replica.unavailableSince();
        }
        result.push_back(digest);
    }
    return result;
}

void TopicExchange::onDigests(const framework::DaemonId &peer,
                              const std::vector<protocol::TopicDigest> &digests,
                              std::optional<framework::TimePoint> asked)
{
    for (const protocol::TopicDigest &digest : digests) {
        const auto found = m_topics.find(digest.topic);
        if (found != m_topics.end()) {
            compare(peer, found->second, digest, asked);
        }
    }
}

/// The age counts from when the ping was sent, so that the time on the way makes the state older
/// than it is, not newer.
void TopicExchange::compare(const framework::DaemonId &peer, Topic &topic,
                            const protocol::TopicDigest &digest,
                            std::optional<framework::TimePoint> asked)
{
    TopicReplica &replica = topic.replica;
    if (asked && digest.returned && !topic.readsStore) {
        const framework::TimePoint returned = *asked - *digest.returned;
        noteReturn(topic, returned, returned - digest.away);
    }
    if (!replica.isKnown() || replica.next() < digest.changed) {
        ask(peer, digest.topic, topic);
        return;
    }
    if (!asked) {
        return;
    }
    const framework::TimePoint confirmed = *asked - digest.age;
    topic.confirmedByPeer = std::max(topic.confirmedByPeer, confirmed);
    if (confirmed > replica.confirmedAt()) {
        replica.append({}, replica.next(), digest.next, confirmed);
    }
}

/// Entries that lapsed while the store was away may come back; they are kept for a while here too.
/// A peer that was away alone says nothing of the store.
void TopicExchange::noteReturn(Topic &topic, framework::TimePoint returned,
                               framework::TimePoint unavailableSince)
{
    TopicReplica &replica = topic.replica;
    const bool wasAwayAlone = replica.confirmedAt() > unavailableSince + m_limits.aloneMargin;
    const bool isNew = returned - replica.recoveredAt() > m_limits.returnSpread;
    if (replica.isKnown() && isNew && !wasAwayAlone) {
        replica.markSourceRecovered(returned);
    }
}

void TopicExchange::ask(const framework::DaemonId &peer, protocol::StateTopic name, Topic &topic)
{
    const framework::TimePoint now = m_clock.now();
    if (topic.sequence && now - topic.askedAt <= m_limits.answerTimeout) {
        return;
    }
    protocol::TopicQuery query;
    query.topic = name;
    query.sequence = ++m_sequence;
    if (topic.replica.isKnown()) {
        query.from = topic.replica.next();
    }
    topic.asked = peer;
    topic.sequence = query.sequence;
    topic.askedAt = now;
    topic.askedFrom = topic.replica.next();
    if (!m_network.send(peer, query)) {
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
    if (found == m_topics.end() || !found->second.replica.isKnown()) {
        return;
    }
    const TopicReplica &replica = found->second.replica;
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

void TopicExchange::take(const framework::DaemonId &peer, const protocol::TopicState &state)
{
    const auto found = m_topics.find(state.topic);
    if (found == m_topics.end() || found->second.sequence != state.sequence) {
        return;
    }
    Topic &topic = found->second;
    TopicReplica &replica = topic.replica;
    topic.sequence.reset();
    const framework::TimePoint confirmed = topic.askedAt - state.age;
    if (state.isComplete) {
        replica.replace(state.records, state.next, confirmed);
    } else {
        replica.append(state.records, topic.askedFrom, state.next, confirmed);
    }
    topic.confirmedByPeer = std::max(topic.confirmedByPeer, confirmed);
    m_metrics.increment("lavendertally_peer_states_taken_total",
                        {{"topic", topicName(state.topic)}});
    if (!topic.readsStore || state.isComplete) {
        m_logger.info("state taken from a peer",
                      {{"topic", topicName(state.topic)},
                       {"peer", peer.value()},
                       {"age_ms", std::to_string(state.age.value())},
                       {"records", std::to_string(state.records.size())},
                       {"offset", std::to_string(replica.next().value())}});
    }
}

void TopicExchange::onOutboundLinkLost(const framework::DaemonId &peer)
{
    for (auto &[name, topic] : m_topics) {
        if (topic.asked == peer) {
            topic.sequence.reset();
        }
    }
}

void TopicExchange::onInboundLinkClosed(const framework::DaemonId & /*peer*/)
{
    // Only links that this daemon keeps carry its queries.
}

} // namespace lavendertally::replication
