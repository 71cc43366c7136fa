#pragma once

#include "framework/types/timepoint.h"
#include "protocol/types/loadreport.h"
#include "routing/types/hostselectorsettings.h"

#include <cstdint>

namespace lavendertally::routing {

/// Load and failures of one backend host as one entry sees them. The entry counts its own calls in
/// flight exactly; the calls of other entries come from the last load report.
class BackendHostState
{
public:
    void callStarted();
    void callEnded();

    /// Takes in a load report, which also ends an ejection.
    void observeLoad(const protocol::LoadReport &load, framework::TimePoint now);

    /// Ejects the host for a time that doubles with each failure in a row.
    /// \param jitter between zero and one; shortens the ejection by up to one half, so that not all
    /// entries end it at the same time
    void observeFailure(const HostSelectorSettings &settings, double jitter,
                        framework::TimePoint now);

    /// \return whether the host gets no calls because of failures; when the ejection time is over,
    /// it gets one call at a time until a load report arrives
    bool isEjected(framework::TimePoint now) const;

    /// \return whether the host is in cold start and not known to have capacity for another call. A
    /// host without any report counts as cold; without a recent report it gets one call at a time.
    bool isColdAndFull(const HostSelectorSettings &settings, framework::TimePoint now) const;

    /// \return weight of the last report in the estimated load; falls linearly from one for a new
    /// report to zero at HostSelectorSettings::reportLifetime
    double reportWeight(const HostSelectorSettings &settings, framework::TimePoint now) const;

    /// \return calls of other entries in the last report, as a fraction of the host's limit
    double externalUtilisation() const;

    /// \param averageExternal average of externalUtilisation() over the candidates; stands in for
    /// the last report as far as that has lost its weight
    /// \return estimated calls at the host at this time, as a fraction of its limit
    double utilisation(const HostSelectorSettings &settings, double averageExternal,
                       framework::TimePoint now) const;

    bool hasReport() const { return m_hasReport; }
    bool isCold() const { return !m_hasReport || m_load.cold; }
    bool hasRecentFailures() const { return m_consecutiveFailures > 0; }
    std::uint32_t inFlight() const { return m_inFlight; }
    /// \return concurrent calls that the host admits, at least one
    std::uint32_t limit() const;
    framework::TimePoint ejectedUntil() const { return m_ejectedUntil; }
    framework::TimePoint reportedAt() const { return m_reportedAt; }
    framework::TimePoint probedAt() const { return m_probedAt; }
    void setProbedAt(framework::TimePoint now) { m_probedAt = now; }

private:
    bool m_hasReport = false;
    protocol::LoadReport m_load;
    framework::TimePoint m_reportedAt;
    framework::TimePoint m_probedAt;
    /// Calls of other entries at the time of the last report.
    std::uint32_t m_externalCalls = 0;
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_consecutiveFailures = 0;
    framework::TimePoint m_ejectedUntil;
};

} // namespace lavendertally::routing
