#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "framework/types/units.h"
#include "routing/internal/serverspeed.h"
#include "routing/types/callnumber.h"
#include "routing/types/serverload.h"
#include "routing/types/serverworkview.h"

#include <cstdint>
#include <vector>

namespace lavendertally::routing {

/// Outstanding work of one backend server as one daemon sees it. The work of the daemon's own calls
/// is known by itself; that of others comes from the last report.
class ServerWork
{
public:
    /// \param readTokens prompt tokens that the server has to read
    /// \param writeTokens expected output tokens
    /// \param firstEventMs expected time to the first event
    void started(CallNumber call, double readTokens, double writeTokens, double firstEventMs,
                 framework::TimePoint now);
    /// The first event has arrived, so that the prompt has been read.
    void read(CallNumber call);
    /// \param tokens output tokens that are no longer expected
    void written(double tokens);
    void ended(CallNumber call, double tokensLeft);
    void observeLoad(const ServerLoad &load, framework::TimePoint now);

    std::uint32_t ownCalls() const { return m_ownCalls; }
    std::uint32_t otherRunning() const { return m_otherRunning; }
    std::uint32_t otherWaiting() const { return m_otherWaiting; }
    /// \return prompt tokens of own calls that are probably not read yet
    double unreadTokens(framework::TimePoint now) const;
    /// \return time by which the first event of the longest waiting own call is later than expected
    double overdueMs(framework::TimePoint now) const;
    double unwrittenTokens() const { return m_unwrittenTokens; }
    bool hasReport() const { return m_hasReport; }
    /// \return whether the server has reported how long work takes there
    bool reportsWorkTime() const { return m_reportsWorkTime; }
    framework::Milliseconds reportAge(framework::TimePoint now) const;
    ServerSpeed &speed() { return m_speed; }
    const ServerSpeed &speed() const { return m_speed; }

    ServerWorkView view(const framework::BackendServerId &server, framework::TimePoint now) const;

private:
    /// Own call whose first event has not arrived.
    struct Unread
    {
        CallNumber call;
        double tokens = 0.0;
        double firstEventMs = 0.0;
        framework::TimePoint sent;
    };

    std::uint32_t m_ownCalls = 0;
    std::vector<Unread> m_unread;
    double m_unwrittenTokens = 0.0;
    std::uint32_t m_otherRunning = 0;
    std::uint32_t m_otherWaiting = 0;
    framework::TimePoint m_reportedAt;
    bool m_hasReport = false;
    bool m_reportsWorkTime = false;
    ServerSpeed m_speed;
};

} // namespace lavendertally::routing
