#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"
#include "framework/types/units.h"
#include "protocol/types/stageholding.h"
#include "stages/types/stagecoordinatoroptions.h"

#include <cstdint>
#include <optional>

namespace lavendertally::stages {

/// Load, storage use, speed and health of one backend server as the coordinator knows them.
class StageServerState
{
public:
    void callStarted() { ++m_calls; }
    /// \param expected duration that the configuration of the pool gives for such a call
    /// \param elapsed actual duration
    void callAnswered(framework::Milliseconds expected, framework::Milliseconds elapsed,
                      framework::TimePoint now);
    /// Pauses calls briefly; a refusal does not count as a failure.
    /// \param retryAfter time for which the backend server wants no calls, if it says so
    void callRefused(const StageCoordinatorOptions &options,
                     std::optional<framework::Milliseconds> retryAfter, framework::TimePoint now);
    /// Ejects the backend server for a time that doubles with each consecutive failure.
    /// \param expected duration that the configuration of the pool gives for such a call
    /// \param elapsed time until the timeout or the failure
    void callFailed(const StageCoordinatorOptions &options, framework::Milliseconds expected,
                    framework::Milliseconds elapsed, framework::TimePoint now);

    /// Counts result storage as used by this coordinator.
    void addStored(framework::Bytes size) { m_storedBytes += size; }
    void removeStored(framework::Bytes size) { m_storedBytes -= size; }

    /// Adds the calls and result storage of another coordinator.
    void addPeerHolding(const protocol::StageHolding &holding)
    {
        m_peerCalls += holding.calls;
        m_peerStoredBytes += holding.held;
    }
    void removePeerHolding(const protocol::StageHolding &holding)
    {
        m_peerCalls -= holding.calls;
        m_peerStoredBytes -= holding.held;
    }

    /// \return whether no call has failed since the last answered one. The pieces of a failed call
    /// may still be running and delay those of the next call.
    bool isHealthy() const { return m_failures == 0; }
    /// \return calls in flight of all coordinators
    std::uint32_t calls() const { return m_calls + m_peerCalls; }
    /// \return result storage in use by all coordinators
    framework::Bytes storedBytes() const { return m_storedBytes + m_peerStoredBytes; }
    std::uint32_t ownCalls() const { return m_calls; }
    framework::Bytes ownStoredBytes() const { return m_storedBytes; }
    /// \return whether it gets no calls because of a refusal or failures
    bool isPaused(framework::TimePoint now) const { return now < m_pausedUntil; }
    framework::TimePoint pausedUntil() const { return m_pausedUntil; }
    /// \return until when the backend server wants no calls of any kind, by its own word
    framework::TimePoint wantsNoneUntil() const { return m_wantsNoneUntil; }
    /// \param expected duration that the configuration of the pool gives for a call
    /// \return duration that such a call is predicted to take at this backend server
    framework::Milliseconds predictedTime(framework::Milliseconds expected,
                                          framework::TimePoint now) const;
    /// \return smoothed ratio of actual to expected call duration. The excess over 1 decays with
    /// the time since the last call ended, so that a backend server once slow is tried again.
    double slowdown(framework::TimePoint now) const;

private:
    std::uint32_t m_calls = 0;
    std::uint32_t m_peerCalls = 0;
    framework::Bytes m_peerStoredBytes;
    std::uint32_t m_failures = 0;
    framework::Bytes m_storedBytes;
    framework::TimePoint m_pausedUntil;
    framework::TimePoint m_wantsNoneUntil;
    /// Exponential moving average of the ratio of actual to expected duration at m_slowdownUpdated;
    /// slowdown() applies the decay since then.
    double m_slowdown = 1.0;
    framework::TimePoint m_slowdownUpdated;
};

} // namespace lavendertally::stages
