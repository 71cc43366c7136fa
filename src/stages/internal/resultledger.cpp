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

void ResultLedger::remove(const framework::StageResultId &result)
{
    const auto found = m_results.find(result);
    if (found == m_results.end()) {
        return;
    }
    m_servers[found->second.server].removeHeld(found->second.size);
    m_results.erase(found);
}

void ResultLedger::expire(framework::TimePoint now)
{
    std::erase_if(m_results, [this, now](const auto &entry) {
        const Held &held = entry.second;
        if (held.expires > now) {
            return false;
        }
        m_servers[held.server].removeHeld(held.size);
        return true;
    });
}

} // namespace lavendertally::stages
