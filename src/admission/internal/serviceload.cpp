#include "admission/internal/serviceload.h"

#include "admission/iservicecapacity.h"
#include "framework/irandom.h"

#include <algorithm>

namespace lavendertally::admission {

namespace {

/// Part of the places that were free at the last report which a gateway may use once that report is
/// too old: a service that has been quiet stays so more often than not.
constexpr std::uint32_t UninformedDivisor = 4;
/// While a quarter of the slots is free, a gateway may take more than its part of the free places
/// at once, up to its equal part of all slots or a quarter of the free ones: not all gateways get a
/// burst within the age of a report.
constexpr std::uint32_t QuietDivisor = 4;
constexpr std::uint32_t QuietAllowanceDivisor = 4;

} // namespace

ServiceLoad::ServiceLoad(const framework::ServiceId &service, const IServiceCapacity &capacity,
                         framework::IRandom &random, const PlaceLimits &limits)
    : m_service(service), m_capacity(capacity), m_random(random), m_limits(limits)
{ }

void ServiceLoad::callStarted(const framework::BackendServerId &server)
{
    ++m_servers[server].ownCalls;
    ++m_ownCalls;
}

void ServiceLoad::callEnded(const framework::BackendServerId &server, bool isRefused,
                            framework::TimePoint now)
{
    ServerLoad &load = m_servers[server];
    load.ownCalls -= std::min<std::uint32_t>(load.ownCalls, 1);
    m_ownCalls -= std::min<std::uint32_t>(m_ownCalls, 1);
    if (isRefused) {
        load.ceiling = load.ownCalls + load.otherCalls;
        load.fullUntil = now + m_limits.refusalLifetime;
        allow(load, 0, now);
        addUp(now);
    }
}

void ServiceLoad::observe(const framework::BackendServerId &server, const ReportedLoad &load,
                          framework::TimePoint now)
{
    m_hasAnswered = true;
    m_reportedAt = now;
    ServerLoad &known = m_servers[server];
    const std::uint32_t total = load.running + load.waiting;
    if (load.slots > 0) {
        known.slots = load.slots;
        known.hasReportedSlots = true;
    }
    known.otherCalls = total - std::min(total, known.ownCalls);
    known.reportedAt = now;
    allow(known, std::int64_t{known.slots} - total, now);
    addUp(now);
}

void ServiceLoad::observeNoLoad(framework::TimePoint now)
{
    m_hasAnswered = true;
    if (m_reportedAt && now - *m_reportedAt >= m_limits.reportingLifetime) {
        m_reportedAt.reset();
    }
}

bool ServiceLoad::isExempt() const
{
    return !m_reportedAt && (m_hasAnswered || !m_capacity.isModelEngine(m_service));
}

/// What the division leaves over goes to each gateway with the probability of its part.
void ServiceLoad::allow(ServerLoad &server, std::int64_t free, framework::TimePoint now)
{
    const std::int64_t gateways = m_gateways;
    const auto drawn = static_cast<std::int64_t>(m_random.below(m_gateways));
    server.ownAtReport = server.ownCalls;
    server.allowance = (free + (free > 0 ? gateways - 1 - drawn : 0)) / gateways;
    server.allowedAt = now;
}

bool ServiceLoad::hasPlace(std::uint32_t held, framework::TimePoint now)
{
    if (isExempt()) {
        return true;
    }
    refresh(now);
    const std::uint32_t used = m_ownCalls - std::min(m_ownCalls, m_departedCalls) + held;
    if (m_maxCalls && used >= *m_maxCalls) {
        return false;
    }
    if (used < m_part) {
        return true;
    }
    if (!m_isInformed) {
        return used < m_uninformedLimit;
    }
    std::int64_t allowed = m_allowedCalls;
    const std::uint32_t free = m_slots - std::min(m_slots, used + m_otherCalls);
    if (free * QuietDivisor > m_slots) {
        allowed += std::max(m_part, free / QuietAllowanceDivisor);
    }
    return used < allowed;
}

std::uint32_t ServiceLoad::expectedCalls() const
{
    return std::max(m_part, m_ownCalls);
}

void ServiceLoad::refresh(framework::TimePoint now)
{
    if (m_refreshedAt && now - *m_refreshedAt < m_limits.refreshInterval) {
        return;
    }
    m_refreshedAt = now;
    readServers();
    for (auto &[id, server] : m_servers) {
        // The calls of others may have ended since, without an answer that tells.
        const bool isOld =
            server.reportedAt && now - server.allowedAt >= m_limits.allowanceLifetime;
        if (isOld && now >= server.fullUntil) {
            allow(server, std::int64_t{server.slots} - server.ownCalls - server.otherCalls, now);
        }
    }
    addUp(now);
    growUninformedLimit(now);
}

void ServiceLoad::readServers()
{
    for (auto &[id, load] : m_servers) {
        load.isPresent = false;
    }
    for (const ServerSlots &entry : m_capacity.servers(m_service)) {
        ServerLoad &load = m_servers[entry.server];
        load.isPresent = true;
        load.slots = load.hasReportedSlots ? load.slots : entry.slots;
    }
    std::erase_if(m_servers, [](const auto &entry) {
        return !entry.second.isPresent && entry.second.ownCalls == 0;
    });
    m_gateways = static_cast<std::uint32_t>(std::max<std::size_t>(1, m_capacity.gatewayCount()));
    m_maxCalls = m_capacity.maxCalls(m_service);
}

/// A report loses its weight over its lifetime: the calls that it counted end, and without further
/// reports it is not known how many others have come.
void ServiceLoad::addUp(framework::TimePoint now)
{
    const std::int64_t lifetime = m_limits.reportLifetime.value();
    m_slots = 0;
    m_otherCalls = 0;
    m_allowedCalls = 0;
    m_departedCalls = 0;
    m_isInformed = false;
    for (const auto &[id, load] : m_servers) {
        if (!load.isPresent) {
            m_departedCalls += load.ownCalls;
            continue;
        }
        const bool isFull = now < load.fullUntil;
        m_slots += isFull ? std::min(load.slots, load.ceiling) : load.slots;
        const std::int64_t left = load.reportedAt ? lifetime - (now - *load.reportedAt).value() : 0;
        if (left <= 0) {
            m_allowedCalls += load.slots / m_gateways;
            // Of a server that has not been heard of since the start, the others use their parts.
            m_otherCalls += load.reportedAt ? 0 : load.slots - load.slots / m_gateways;
            continue;
        }
        m_isInformed = true;
        m_allowedCalls += load.ownAtReport + load.allowance;
        m_otherCalls +=
            static_cast<std::uint32_t>((load.otherCalls * left + lifetime - 1) / lifetime);
    }
    m_part = std::max<std::uint32_t>(1, m_slots / m_gateways);
}

/// Before the first report, the limit starts from the equal part of this gateway: all gateways may
/// have started at once.
void ServiceLoad::growUninformedLimit(framework::TimePoint now)
{
    const std::uint32_t busy = m_ownCalls + m_otherCalls;
    const std::uint32_t free = m_slots - std::min(m_slots, busy);
    if (m_isInformed || m_uninformedLimit == 0) {
        m_uninformedLimit =
            std::max(m_part, m_isInformed ? m_ownCalls + free / UninformedDivisor : 0);
        m_uninformedLimitAt = now;
    } else if (m_ownCalls < m_uninformedLimit) {
        m_uninformedLimitAt = now;
    } else if (now - m_uninformedLimitAt >= m_limits.uninformedDoubling) {
        m_uninformedLimit = 2 * std::max(m_uninformedLimit, m_part);
        m_uninformedLimitAt = now;
    }
}

} // namespace lavendertally::admission
