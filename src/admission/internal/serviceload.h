#pragma once

#include "admission/types/placelimits.h"
#include "admission/types/reportedload.h"
#include "framework/types/ids.h"
#include "framework/types/timepoint.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace lavendertally::framework {
class IRandom;
}

namespace lavendertally::admission {

class IServiceCapacity;

/// Estimates how many calls the backend servers of one service can still take from this gateway.
/// The gateway knows its own calls exactly and those of the others from load reports. Each gateway
/// may always use its equal part of the slots, and keep what it has. Of the places that a report
/// shows as free beyond that, it takes its part once, since the others see them too.
class ServiceLoad
{
public:
    /// All arguments must outlive this object.
    ServiceLoad(const framework::ServiceId &service, const IServiceCapacity &capacity,
                framework::IRandom &random, const PlaceLimits &limits);

    void callStarted(const framework::BackendServerId &server);
    void callEnded(const framework::BackendServerId &server, bool isRefused,
                   framework::TimePoint now);
    void observe(const framework::BackendServerId &server, const ReportedLoad &load,
                 framework::TimePoint now);
    void observeNoLoad(framework::TimePoint now);

    /// \return whether there is a place for one more call; it is taken by callStarted()
    /// \param held free places that the call must leave
    bool hasPlace(std::uint32_t held, framework::TimePoint now);
    /// \return calls that this gateway can expect to have in flight at once; at least one
    std::uint32_t expectedCalls() const;
    /// \return whether the service is not limited: it reports no load, and it is no model engine or
    /// has answered
    bool isExempt() const;

private:
    struct ServerLoad
    {
        /// Whether it admits work.
        bool isPresent = false;
        /// As reported, else as registered.
        std::uint32_t slots = 0;
        bool hasReportedSlots = false;
        std::uint32_t ownCalls = 0;
        /// Calls of other gateways at the last report.
        std::uint32_t otherCalls = 0;
        std::optional<framework::TimePoint> reportedAt;
        /// Calls of this gateway then, and how many more it may have by that report; negative if
        /// the server has more calls than slots.
        std::uint32_t ownAtReport = 0;
        std::int64_t allowance = 0;
        framework::TimePoint allowedAt;
        /// Calls at which it refused another one, and until when that counts.
        std::uint32_t ceiling = 0;
        framework::TimePoint fullUntil;
    };

    void refresh(framework::TimePoint now);
    void readServers();
    void addUp(framework::TimePoint now);
    void allow(ServerLoad &server, std::int64_t free, framework::TimePoint now);
    void growUninformedLimit(framework::TimePoint now);

    framework::ServiceId m_service;
    const IServiceCapacity &m_capacity;
    framework::IRandom &m_random;
    const PlaceLimits &m_limits;
    std::map<framework::BackendServerId, ServerLoad> m_servers;
    std::optional<framework::TimePoint> m_refreshedAt;
    bool m_hasAnswered = false;
    /// Last report of any server; none if answers come without.
    std::optional<framework::TimePoint> m_reportedAt;
    /// Whether a report is young enough to go by.
    bool m_isInformed = false;
    std::uint32_t m_ownCalls = 0;
    /// Those at servers that no longer admit work; they take no place of the others.
    std::uint32_t m_departedCalls = 0;
    /// As of m_refreshedAt.
    std::uint32_t m_slots = 0;
    std::uint32_t m_otherCalls = 0;
    std::uint32_t m_gateways = 1;
    /// Equal part of this gateway; at least one.
    std::uint32_t m_part = 1;
    std::optional<std::uint32_t> m_maxCalls;
    /// Sum over the servers with young reports of the calls that this gateway may have by them.
    std::int64_t m_allowedCalls = 0;
    /// Most calls in flight while no server has reported its load.
    std::uint32_t m_uninformedLimit = 0;
    framework::TimePoint m_uninformedLimitAt;
};

} // namespace lavendertally::admission
