#pragma once

#include "control/types/synclimits.h"
#include "framework/types/endpoint.h"
#include "framework/types/timepoint.h"

#include <map>
#include <optional>

namespace lavendertally::control {

/// Tracks which peers failed to answer lately, and which one answered last.
class PeerHealth
{
public:
    explicit PeerHealth(const SyncLimits &limits) : m_limits(limits) { }

    void noteAnswer(const framework::Endpoint &peer, framework::TimePoint now);
    void noteFailure(const framework::Endpoint &peer, framework::TimePoint now);

    /// \return whether \p peer failed lately and is skipped while others are available
    bool isAvoided(const framework::Endpoint &peer, framework::TimePoint now) const;

    /// \return the peer that answered last, unless it has failed since
    const std::optional<framework::Endpoint> &lastGood() const { return m_lastGood; }
    framework::TimePoint lastAnswer() const { return m_lastAnswer; }

private:
    SyncLimits m_limits;
    /// When a failed peer may be queried again.
    std::map<framework::Endpoint, framework::TimePoint> m_avoidedUntil;
    std::optional<framework::Endpoint> m_lastGood;
    framework::TimePoint m_lastAnswer;
};

} // namespace lavendertally::control
