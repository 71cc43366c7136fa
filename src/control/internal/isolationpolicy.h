#pragma once

#include "control/iisolationpolicy.h"
#include "control/types/isolationlimits.h"

#include <optional>

namespace lavendertally::control {

/// Isolates a process after too long without confirmation of its revision, or too long behind a
/// newer known one.
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
    /// When the log or another daemon last reported a newer revision.
    framework::TimePoint m_lastNewerSeen;
    std::optional<framework::TimePoint> m_behindSince;
};

} // namespace lavendertally::control
