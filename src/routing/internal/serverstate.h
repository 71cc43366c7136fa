#pragma once

#include "framework/types/timepoint.h"
#include "routing/types/calloutcome.h"
#include "routing/types/serverload.h"

#include <cstdint>
#include <set>

namespace lavendertally::routing {

/// What one daemon knows about one backend server: its own calls exactly, those of other daemons
/// from the last stated load, and how recent calls ended.
class ServerState
{
public:
    void callStarted(framework::TimePoint now);
    void responseStarted(framework::TimePoint started, framework::TimePoint now);
    void callEnded(CallOutcome outcome, framework::TimePoint now);
    void observeLoad(const ServerLoad &load, framework::TimePoint now);

    /// \param slots places that the backend server registered
    /// \return expected calls as a part of its places
    double utilisation(std::uint32_t slots, framework::TimePoint now) const;
    /// \return share of recent calls that failed, between zero and one
    double failureRate() const { return m_failureRate; }
    /// \return whether it gets no calls because it broke them, refused them or owes answers
    bool isAvoided(framework::TimePoint now) const;
    framework::TimePoint avoidedUntil() const { return m_avoidedUntil; }

    /// Takes one request from what a backend server in cold start bears.
    /// \param rate requests a second
    bool hasColdRoom(double rate, framework::TimePoint now) const;
    void takeColdRoom(double rate, framework::TimePoint now);

private:
    double coldTokens(double rate, framework::TimePoint now) const;

    std::uint32_t m_inFlight = 0;
    std::uint32_t m_foreign = 0;
    framework::TimePoint m_loadAt;
    std::multiset<framework::TimePoint> m_unanswered;
    framework::TimePoint m_lastAnswer;
    /// Usual time to the first part of an answer, smoothed.
    double m_answerTime = 0.0;
    double m_failureRate = 0.0;
    std::uint32_t m_brokenInRow = 0;
    framework::TimePoint m_avoidedUntil;
    double m_coldTokens = 1.0;
    framework::TimePoint m_coldAt;
};

} // namespace lavendertally::routing
