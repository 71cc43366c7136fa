#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "standins/types/coldstartoptions.h"

#include <cstdint>

namespace lavendertally::framework {
class IClock;
}

namespace lavendertally::standins {

/// Cold start of a backend server: which load it bears, when it is warm, when it falls over.
class ColdStartModel
{
public:
    ColdStartModel(const framework::IClock &clock, const ColdStartOptions &options);

    /// Starts anew: next incarnation, cold.
    void restart();

    /// Turns cold without a new incarnation. Calls under way go on and do not count against the
    /// limit.
    void turnCold();

    /// Counts a call that has begun.
    /// \return false if the load was more than it bears: it falls over and loses all its calls
    bool beginCall();

    /// Counts a call that has ended.
    /// \param completed whether it ran to its end
    void endCall(bool completed);

    bool isCold() const;
    bool isReady() const;
    framework::Incarnation incarnation() const { return m_incarnation; }
    /// \return calls begun and not ended
    std::uint32_t calls() const { return m_calls; }
    /// \return most calls at once seen while cold
    std::uint32_t maxCallsWhileCold() const { return m_maxCallsWhileCold; }
    /// \return times that it fell over
    std::uint32_t overloads() const { return m_overloads; }
    /// \return times as long that a call takes now
    std::uint32_t slowdown() const { return isCold() ? m_options.slowdown : 1; }

private:
    void fallOver();

    const framework::IClock &m_clock;
    ColdStartOptions m_options;
    framework::Incarnation m_incarnation{1};
    bool m_cold;
    framework::TimePoint m_coldSince;
    framework::TimePoint m_readyAt;
    std::uint32_t m_completedWhileCold = 0;
    std::uint32_t m_calls = 0;
    /// Calls under way that began before it turned cold; they are taken to end first.
    std::uint32_t m_callsBeforeCold = 0;
    std::uint32_t m_maxCallsWhileCold = 0;
    std::uint32_t m_overloads = 0;
};

} // namespace lavendertally::standins
