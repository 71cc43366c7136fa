#pragma once

#include "framework/types/timepoint.h"
#include "routing/types/calloutcome.h"
#include "routing/types/serverload.h"

#include <algorithm>
#include <cstdint>
#include <set>

namespace lavendertally::routing {

/// Load and health of one backend server as one daemon sees them. The daemon counts its own calls
/// in flight exactly; those of other daemons come from the last load report.
class ServerState
{
public:
    void callStarted(framework::TimePoint now);
    void responseStarted(framework::TimePoint started, framework::TimePoint now);
    void callEnded(CallOutcome outcome, framework::TimePoint now);
    void observeLoad(const ServerLoad &load, framework::TimePoint now);

    /// \param slots concurrent requests that the backend server registered
    /// \return estimated calls at the backend server, as a fraction of its slots
    double utilisation(std::uint32_t slots, framework::TimePoint now) const;
    /// \return exponentially weighted rate of failed calls, between zero and one
    double failureRate() const { return m_failureRate; }
    /// \return whether it gets no calls, because a call to it failed or was refused shortly before
    /// or because its responses are overdue
    bool isEjected(framework::TimePoint now) const;
    framework::TimePoint ejectedUntil() const { return m_ejectedUntil; }

    /// The backend server has said that it wants no requests before \p until. Unlike an ejection,
    /// this holds also if there is no other backend server.
    void pause(framework::TimePoint until) { m_pausedUntil = std::max(m_pausedUntil, until); }
    framework::TimePoint pausedUntil() const { return m_pausedUntil; }

    /// \param rate tokens per second that are added to the token bucket for requests during a cold
    /// start
    /// \return whether the bucket holds a token for one request
    bool hasColdStartToken(double rate, framework::TimePoint now) const;
    /// Takes the token of one request; \p rate is that of hasColdStartToken().
    void takeColdStartToken(double rate, framework::TimePoint now);

private:
    double coldStartTokens(double rate, framework::TimePoint now) const;

    std::uint32_t m_inFlight = 0;
    /// Calls of other daemons at the time of the last load report.
    std::uint32_t m_externalCalls = 0;
    framework::TimePoint m_loadReportedAt;
    /// Start times of calls whose response has not started yet.
    std::multiset<framework::TimePoint> m_awaitingResponse;
    framework::TimePoint m_lastResponse;
    /// Moving average of the time until a response starts, in milliseconds; zero before the first.
    double m_smoothedResponseMs = 0.0;
    double m_failureRate = 0.0;
    std::uint32_t m_consecutiveTransportFailures = 0;
    framework::TimePoint m_ejectedUntil;
    framework::TimePoint m_pausedUntil;
    double m_coldStartTokens = 1.0;
    framework::TimePoint m_coldStartTokensAt;
};

} // namespace lavendertally::routing
