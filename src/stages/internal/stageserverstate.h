#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"
#include "framework/types/units.h"
#include "protocol/types/stageholding.h"
#include "stages/types/stagelimits.h"

#include <cstdint>

namespace lavendertally::stages {

/// What the coordinator knows about one backend server of a pool.
class StageServerState
{
public:
    void callStarted() { ++m_calls; }
    /// \param expected time that the pool's description gives for such a call
    /// \param taken time that it took
    void callAnswered(framework::Milliseconds expected, framework::Milliseconds taken,
                      framework::TimePoint now);
    void callRefused(const StageLimits &limits, framework::TimePoint now);
    /// \param expected time that the pool's description gives for such a call
    /// \param taken time after which it was given up or broke
    void callFailed(const StageLimits &limits, framework::Milliseconds expected,
                    framework::Milliseconds taken, framework::TimePoint now);

    void addHeld(framework::Bytes size) { m_held += size; }
    void removeHeld(framework::Bytes size) { m_held -= size; }

    /// Another coordinator's calls and results.
    void addForeign(const protocol::StageHolding &holding)
    {
        m_foreignCalls += holding.calls;
        m_foreignHeld += holding.held;
    }
    void removeForeign(const protocol::StageHolding &holding)
    {
        m_foreignCalls -= holding.calls;
        m_foreignHeld -= holding.held;
    }

    /// \return whether the last call was answered, so that nothing of an earlier one can be running
    bool isSound() const { return m_failures == 0; }
    std::uint32_t calls() const { return m_calls + m_foreignCalls; }
    framework::Bytes held() const { return m_held + m_foreignHeld; }
    std::uint32_t ownCalls() const { return m_calls; }
    framework::Bytes ownHeld() const { return m_held; }
    bool isPaused(framework::TimePoint now) const { return now < m_pausedUntil; }
    framework::TimePoint pausedUntil() const { return m_pausedUntil; }
    /// \return time that a call with this expected time usually takes here
    framework::Milliseconds usualTime(framework::Milliseconds expected,
                                      framework::TimePoint now) const;
    /// \return time taken as a part of the expected one; what is known to be slow counts less the
    /// longer it was not tried
    double slowness(framework::TimePoint now) const;

private:
    std::uint32_t m_calls = 0;
    std::uint32_t m_foreignCalls = 0;
    framework::Bytes m_foreignHeld;
    std::uint32_t m_failures = 0;
    framework::Bytes m_held;
    framework::TimePoint m_pausedUntil;
    /// Time taken as a part of the expected one, smoothed.
    double m_slowness = 1.0;
    framework::TimePoint m_measured;
};

} // namespace lavendertally::stages
