#include "stages/internal/resultledger.h"

namespace lavendertally::stages {

void ResultLedger::add(const framework::StageResultId &result,
                       const framework::BackendServerId &server, framework::Bytes size,
                       framework::TimePoint expires)
{
    const auto [position, isNew] = m_results.try_emplace(result, Held{server, size, expires});
    if (isNew) {
        m_servers[server].addHeld(size);
    }
}

void ResultLedger::addUnknown(const framework::BackendServerId &server, framework::Bytes size,
                              framework::TimePoint expires)
{
    m_unknown.push_back({server, size, expires});
    m_servers[server].addHeld(size);
}

void ResultLedger::remove(const framework::StageResultId &result)
{
    const auto found = m_results.find(result);
    if (found == m_results.end()) {
        return;
    }
    m_servers[found->second.server].removeHeld(found->second.size);
    m_results.erase(found);
}

framework::Bytes ResultLedger::heldBeside(const framework::StageResultId &result) const
{
    const auto found = m_results.find(result);
    if (found == m_results.end()) {
        return framework::Bytes(0);
    }
    return m_servers.at(found->second.server).held();
}

void ResultLedger::expire(framework::TimePoint now)
{
    const auto hasExpired = [this, now](const Held &held) {
        if (held.expires > now) {
            return false;
        }
        m_servers[held.server].removeHeld(held.size);
        return true;
    };
    std::erase_if(m_results, [&hasExpired](const auto &entry) { return hasExpired(entry.second); });
    std::erase_if(m_unknown, hasExpired);
    std::erase_if(m_foreign, [this, now](const auto &entry) {
        const bool hasEnded = entry.second.expires <= now;
        if (hasEnded) {
            removeForeign(entry.second);
        }
        return hasEnded;
    });
}

void ResultLedger::setForeign(const framework::DaemonId &daemon,
                              const std::vector<protocol::StageHolding> &holdings,
                              framework::TimePoint expires)
{
    Foreign &foreign = m_foreign[daemon];
    removeForeign(foreign);
    foreign = {holdings, expires};
    for (const protocol::StageHolding &holding : holdings) {
        m_servers[holding.server].addForeign(holding);
    }
}

void ResultLedger::removeForeign(const Foreign &foreign)
{
    for (const protocol::StageHolding &holding : foreign.holdings) {
        m_servers[holding.server].removeForeign(holding);
    }
}

std::vector<protocol::StageHolding> ResultLedger::holdings() const
{
    std::vector<protocol::StageHolding> result;
    for (const auto &[server, state] : m_servers) {
        if (state.ownCalls() > 0 || state.ownHeld() > framework::Bytes(0)) {
            result.push_back({server, state.ownHeld(), state.ownCalls()});
        }
    }
    return result;
}

} // namespace lavendertally::stages
