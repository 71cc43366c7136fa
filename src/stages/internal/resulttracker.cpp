#include "stages/internal/resulttracker.h"

namespace lavendertally::stages {

void ResultTracker::add(const framework::StageResultId &result,
                        const framework::BackendServerId &server, framework::Bytes size,
                        framework::TimePoint expires)
{
    const auto [position, isNew] =
        m_results.try_emplace(result, StoredResult{server, size, expires});
    if (isNew) {
        m_servers[server].addStored(size);
    }
}

void ResultTracker::addUntracked(const framework::BackendServerId &server, framework::Bytes size,
                                 framework::TimePoint expires)
{
    m_untracked.push_back({server, size, expires});
    m_servers[server].addStored(size);
}

framework::Bytes ResultTracker::setReported(const framework::BackendServerId &server,
                                            framework::Bytes used, framework::TimePoint expires)
{
    StageServerState &state = m_servers[server];
    if (const auto earlier = m_reported.extract(server); !earlier.empty()) {
        state.removeStored(earlier.mapped().size);
    }
    const framework::Bytes unknown = used - state.storedBytes();
    if (unknown > framework::Bytes(0)) {
        m_reported.emplace(server, StoredResult{server, unknown, expires});
        state.addStored(unknown);
    }
    return unknown;
}

void ResultTracker::remove(const framework::StageResultId &result)
{
    const auto found = m_results.find(result);
    if (found == m_results.end()) {
        return;
    }
    m_servers[found->second.server].removeStored(found->second.size);
    m_results.erase(found);
}

std::optional<framework::BackendServerId>
ResultTracker::holderOf(const framework::StageResultId &result) const
{
    const auto found = m_results.find(result);
    if (found == m_results.end()) {
        return std::nullopt;
    }
    return found->second.server;
}

framework::Bytes ResultTracker::usedStorageAtHolder(const framework::StageResultId &result) const
{
    const auto found = m_results.find(result);
    if (found == m_results.end()) {
        return framework::Bytes(0);
    }
    return m_servers.at(found->second.server).storedBytes();
}

void ResultTracker::expire(framework::TimePoint now)
{
    const auto hasExpired = [this, now](const StoredResult &stored) {
        if (stored.expires > now) {
            return false;
        }
        m_servers[stored.server].removeStored(stored.size);
        return true;
    };
    std::erase_if(m_results, [&hasExpired](const auto &entry) { return hasExpired(entry.second); });
    std::erase_if(m_untracked, hasExpired);
    std::erase_if(m_reported,
                  [&hasExpired](const auto &entry) { return hasExpired(entry.second); });
    std::erase_if(m_peerHoldings, [this, now](const auto &entry) {
        const bool isStale = entry.second.expires <= now;
        if (isStale) {
            removePeerHoldings(entry.second);
        }
        return isStale;
    });
}

void ResultTracker::setPeerHoldings(const framework::DaemonId &daemon,
                                    const std::vector<protocol::StageHolding> &holdings,
                                    framework::TimePoint expires)
{
    PeerHoldings &peerHoldings = m_peerHoldings[daemon];
    removePeerHoldings(peerHoldings);
    peerHoldings = {holdings, expires};
    for (const protocol::StageHolding &holding : holdings) {
        m_servers[holding.server].addPeerHolding(holding);
    }
}

void ResultTracker::removePeerHoldings(const PeerHoldings &peerHoldings)
{
    for (const protocol::StageHolding &holding : peerHoldings.holdings) {
        m_servers[holding.server].removePeerHolding(holding);
    }
}

std::vector<protocol::StageHolding> ResultTracker::holdings() const
{
    std::vector<protocol::StageHolding> result;
    for (const auto &[server, state] : m_servers) {
        if (state.ownCalls() > 0 || state.ownStoredBytes() > framework::Bytes(0)) {
            result.push_back({server, state.ownStoredBytes(), state.ownCalls()});
        }
    }
    return result;
}

} // namespace lavendertally::stages
