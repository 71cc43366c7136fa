#include "control/internal/peerhealth.h"

namespace lavendertally::control {

void PeerHealth::noteAnswer(const framework::Endpoint &peer, framework::TimePoint now)
{
    m_avoidedUntil.erase(peer);
    m_lastGood = peer;
    m_lastAnswer = now;
}

void PeerHealth::noteFailure(const framework::Endpoint &peer, framework::TimePoint now)
{
    if (m_lastGood == peer) {
        m_lastGood.reset();
    }
    std::erase_if(m_avoidedUntil, [now](const auto &item) { return item.second <= now; });
    m_avoidedUntil[peer] = now + m_limits.failedPeerHoldOff;
}

bool PeerHealth::isAvoided(const framework::Endpoint &peer, framework::TimePoint now) const
{
    const auto found = m_avoidedUntil.find(peer);
    return found != m_avoidedUntil.end() && now < found->second;
}

} // namespace lavendertally::control
