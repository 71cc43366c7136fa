#include "control/internal/revisionsyncpolicy.h"

#include "control/internal/rendezvous.h"
#include "framework/irandom.h"

#include <algorithm>
#include <map>
#include <utility>

namespace lavendertally::control {

using framework::Endpoint;
using framework::TimePoint;
using membership::HostEntry;

namespace {

/// Maximum pending queries to peers with a newer revision; more would be redundant.
constexpr std::size_t MaxUrgentQueries = 8;
constexpr const char *LogReaderKey = "log reader";

} // namespace

RevisionSyncPolicy::RevisionSyncPolicy(ControlIdentity identity, std::vector<Endpoint> seeds,
                                       const SyncLimits &limits, framework::IRandom &random,
                                       TimePoint now)
    : m_identity(std::move(identity)), m_seeds(std::move(seeds)), m_limits(limits),
      m_random(random), m_health(limits), m_start(now), m_nextPeriodic(now)
{ }

framework::Milliseconds RevisionSyncPolicy::queryInterval() const
{
    return isEntry() ? m_limits.entryQueryInterval : m_limits.hostQueryInterval;
}

void RevisionSyncPolicy::setEntries(const std::vector<HostEntry> &entries)
{
    m_entries.clear();
    if (isEntry()) {
        findLogReaders(entries);
    } else {
        rankForHost(entries);
    }
}

void RevisionSyncPolicy::findLogReaders(const std::vector<HostEntry> &entries)
{
    std::map<framework::AvailabilityZoneId, std::vector<std::pair<std::uint64_t, HostEntry>>> zones;
    for (const HostEntry &entry : entries) {
        const std::uint64_t weight = rendezvousWeight(LogReaderKey, entry.id.value());
        zones[entry.zone].emplace_back(weight, entry);
        if (entry.id != m_identity.host) {
            m_entries.push_back(entry.control);
        }
    }
    m_logReaders.clear();
    m_isLogReader = entries.empty();
    for (auto &[zone, members] : zones) {
        std::ranges::sort(members, std::greater<>(), [](const auto &item) { return item.first; });
        members.resize(std::min(members.size(), m_limits.logReadersPerZone));
        for (const auto &[weight, entry] : members) {
            if (entry.id == m_identity.host) {
                m_isLogReader = true;
            } else {
                m_logReaders.push_back(entry.control);
            }
        }
    }
}

void RevisionSyncPolicy::rankForHost(const std::vector<HostEntry> &entries)
{
    struct Ranked
    {
        bool otherZone;
        std::uint64_t weight;
        Endpoint control;
    };
    std::vector<Ranked> ranked;
    ranked.reserve(entries.size());
    for (const HostEntry &entry : entries) {
        ranked.push_back({entry.zone != m_identity.zone,
                          rendezvousWeight(m_identity.host.value(), entry.id.value()),
                          entry.control});
    }
    if (ranked.empty()) {
        return;
    }
    std::ranges::sort(ranked, [](const Ranked &a, const Ranked &b) {
        return std::pair(a.otherZone, b.weight) < std::pair(b.otherZone, a.weight);
    });
    // The last place in the rotation goes to an entry of another availability zone, so that a host
    // process does not depend on its own zone alone when that is cut off from the others.
    const auto firstOther = std::ranges::find(ranked, true, &Ranked::otherZone);
    const auto place = ranked.begin()
        + static_cast<std::ptrdiff_t>(std::min(m_limits.hostRotationSize, ranked.size())) - 1;
    if (firstOther != ranked.end() && place < firstOther) {
        std::rotate(place, firstOther, firstOther + 1);
    }
    for (const Ranked &entry : ranked) {
        m_entries.push_back(entry.control);
    }
}

std::optional<Endpoint> RevisionSyncPolicy::nextPeer(TimePoint now)
{
    if (!m_urgentPeers.empty()) {
        Endpoint peer = std::move(m_urgentPeers.front());
        m_urgentPeers.pop_front();
        return peer;
    }
    if (now < m_nextPeriodic) {
        return std::nullopt;
    }
    m_nextPeriodic = now + queryInterval();
    return choosePeer(now);
}

TimePoint RevisionSyncPolicy::nextDue() const
{
    return m_urgentPeers.empty() ? m_nextPeriodic : TimePoint();
}

std::optional<Endpoint> RevisionSyncPolicy::choosePeer(TimePoint now)
{
    if (std::exchange(m_lastQueryFailed, false) && m_health.lastGood()) {
        return m_health.lastGood();
    }
    ++m_queryCount;
    if (m_entries.empty()) {
        return pickRandom(usable(m_seeds, now));
    }
    if (isEntry()) {
        const bool queryLogReader = m_queryCount % 2 == 0 && !m_logReaders.empty();
        return pickRandom(usable(queryLogReader ? m_logReaders : m_entries, now));
    }
    const Endpoints candidates = usable(m_entries, now);
    return candidates[m_queryCount % std::min(candidates.size(), m_limits.hostRotationSize)];
}

RevisionSyncPolicy::Endpoints RevisionSyncPolicy::usable(const Endpoints &peers,
                                                         TimePoint now) const
{
    Endpoints result;
    for (const Endpoint &peer : peers) {
        if (!m_health.isAvoided(peer, now)) {
            result.push_back(peer);
        }
    }
    return result.empty() ? peers : result;
}

std::optional<Endpoint> RevisionSyncPolicy::pickRandom(const Endpoints &peers)
{
    if (peers.empty()) {
        return std::nullopt;
    }
    return peers[m_random.below(peers.size())];
}

void RevisionSyncPolicy::noteAnswer(const Endpoint &peer, TimePoint now)
{
    m_health.noteAnswer(peer, now);
}

void RevisionSyncPolicy::noteFailure(const Endpoint &peer, TimePoint now)
{
    m_health.noteFailure(peer, now);
    m_lastQueryFailed = true;
    const bool othersLeft = std::ranges::any_of(
        m_entries, [&](const Endpoint &entry) { return !m_health.isAvoided(entry, now); });
    if (othersLeft) {
        m_nextPeriodic = now + m_limits.retryDelay;
    }
}

void RevisionSyncPolicy::noteNewerRevision(const Endpoint &peer)
{
    const bool waits = std::ranges::find(m_urgentPeers, peer) != m_urgentPeers.end();
    if (!waits && m_urgentPeers.size() < MaxUrgentQueries) {
        m_urgentPeers.push_back(peer);
    }
}

void RevisionSyncPolicy::noteNewerRevisionElsewhere()
{
    m_nextPeriodic = TimePoint();
}

void RevisionSyncPolicy::noteAdvance()
{
    for (std::size_t i = 0; isEntry() && i < m_limits.fanOut; ++i) {
        if (const std::optional<Endpoint> peer = pickRandom(m_entries)) {
            noteNewerRevision(*peer);
        }
    }
}

LogReadMode RevisionSyncPolicy::logReadMode(TimePoint now) const
{
    const TimePoint lastContact = std::max(m_start, m_health.lastAnswer());
    const bool silent = now - lastContact > m_limits.peerSilence;
    return m_isLogReader || silent ? LogReadMode::Follow : LogReadMode::Check;
}

} // namespace lavendertally::control
