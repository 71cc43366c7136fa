#pragma once

#include "framework/types/timepoint.h"
#include "protocol/types/loadreport.h"
#include "routing/types/hostselectorsettings.h"

#include <cstdint>

namespace lavendertally::routing {

/// What one entry knows about one backend server: its own calls in flight exactly, the calls of
/// others from the last report, and recent failures.
class WorkerState
{
public:
    void callStarted();
    void callEnded();
    void observeLoad(const protocol::LoadReport &load, framework::TimePoint now);

    /// Ejects the backend server for a time that doubles with each failure in a row.
    /// \param jitter between zero and one; spreads the end of the ejections of many entries
    void observeFailure(const HostSelectorSettings &limits, double jitter,
                        framework::TimePoint now);

    /// \return whether it gets no calls because of failures; after the ejection one call at a time
    /// probes it until an answer comes
    bool isEjected(framework::TimePoint now) const;

    /// \return whether a call would be more than a backend server in cold start is known to bear.
    /// One that was never heard of counts as cold.
    bool isColdWithoutRoom(const HostSelectorSettings &limits, framework::TimePoint now) const;

    /// \return share of the last report in the estimate, one when new and zero when too old
    double reportWeight(const HostSelectorSettings &limits, framework::TimePoint now) const;

    /// \return calls of others in the last report, as a part of the limit
    double foreignUtilisation() const;

    /// \param usualForeign calls of others on a usual backend server, as a part of the limit;
    /// stands in for what the report no longer tells \return expected calls at this moment as a
    /// part of the limit
    double utilisation(const HostSelectorSettings &limits, double usualForeign,
                       framework::TimePoint now) const;

    bool isHeard() const { return m_heard; }
    bool isCold() const { return !m_heard || m_load.cold; }
    bool isSuspect() const { return m_failures > 0; }
    std::uint32_t inFlight() const { return m_inFlight; }
    std::uint32_t limit() const;
    framework::TimePoint ejectedUntil() const { return m_ejectedUntil; }
    framework::TimePoint reported() const { return m_reported; }
    framework::TimePoint probed() const { return m_probed; }
    void setProbed(framework::TimePoint now) { m_probed = now; }

private:
    bool m_heard = false;
    protocol::LoadReport m_load;
    framework::TimePoint m_reported;
    framework::TimePoint m_probed;
    /// Calls of other entries when the report was made.
    std::uint32_t m_foreign = 0;
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_failures = 0;
    framework::TimePoint m_ejectedUntil;
};

} // namespace lavendertally::routing
