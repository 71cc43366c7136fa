#pragma once

#include "control/iisolationpolicy.h"
#include "control/types/isolationlimits.h"

#include <optional>

namespace lavendertally::control {

/// Counts silence, and the time behind a revision that is known to exist.
class IsolationPolicy final : public IIsolationPolicy
{
public:
    IsolationPolicy(const IsolationLimits &limits, framework::TimePoint now);

    void noteContact(framework::LogOffset seen, framework::LogOffset own,
                     framework::TimePoint now) override;
    void noteAdvance(framework::LogOffset own) override;
    bool isIsolated(framework::TimePoint now) const override;

private:
    IsolationLimits m_limits;
    framework::TimePoint m_lastContact;
    framework::LogOffset m_newest;
    /// When another daemon last showed a newer revision.
    framework::TimePoint m_lastClaim;
    std::optional<framework::TimePoint> m_behindSince;
};

} // namespace lavendertally::control
