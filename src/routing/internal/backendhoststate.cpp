#include "routing/internal/backendhoststate.h"

#include <algorithm>
#include <cmath>

namespace lavendertally::routing {

void BackendHostState::callStarted()
{
    ++m_inFlight;
}

void BackendHostState::callEnded()
{
    if (m_inFlight > 0) {
        --m_inFlight;
    }
}

void BackendHostState::observeLoad(const protocol::LoadReport &load, framework::TimePoint now)
{
    const std::uint32_t total = load.running + load.queued;
    m_load = load;
    m_hasReport = true;
    m_reportedAt = now;
    m_externalCalls = total > m_inFlight ? total - m_inFlight : 0;
    m_consecutiveFailures = 0;
    m_ejectedUntil = framework::TimePoint();
}

void BackendHostState::observeFailure(const HostSelectorSettings &settings, double jitter,
                                      framework::TimePoint now)
{
    constexpr std::uint32_t MaxDoublings = 16;
    const std::uint32_t doublings = std::min(m_consecutiveFailures, MaxDoublings);
    const framework::Milliseconds doubled = settings.minEjection * (std::int64_t{1} << doublings);
    const framework::Milliseconds longest = std::min(doubled, settings.maxEjection);
    const auto jittered = static_cast<double>(longest.value()) * (1.0 + jitter) / 2.0;
    m_ejectedUntil = now + framework::Milliseconds(std::lround(jittered));
    ++m_consecutiveFailures;
}

bool BackendHostState::isEjected(framework::TimePoint now) const
{
    if (m_consecutiveFailures == 0) {
        return false;
    }
    return now < m_ejectedUntil || m_inFlight > 0;
}

bool BackendHostState::isColdAndFull(const HostSelectorSettings &settings,
                                     framework::TimePoint now) const
{
    if (!isCold()) {
        return false;
    }
    if (!m_hasReport) {
        return m_inFlight > 0;
    }
    if (now - m_reportedAt <= settings.coldReportLifetime) {
        return m_externalCalls + m_inFlight >= m_load.limit;
    }
    return m_inFlight > 0;
}

double BackendHostState::reportWeight(const HostSelectorSettings &settings,
                                      framework::TimePoint now) const
{
    if (!m_hasReport) {
        return 0.0;
    }
    const auto age = static_cast<double>((now - m_reportedAt).value());
    const auto lifetime = static_cast<double>(settings.reportLifetime.value());
    return std::clamp(1.0 - age / lifetime, 0.0, 1.0);
}

double BackendHostState::externalUtilisation() const
{
    return static_cast<double>(m_externalCalls) / limit();
}

double BackendHostState::utilisation(const HostSelectorSettings &settings, double averageExternal,
                                     framework::TimePoint now) const
{
    const double weight = reportWeight(settings, now);
    const double external = weight * externalUtilisation() + (1.0 - weight) * averageExternal;
    return external + static_cast<double>(m_inFlight) / limit();
}

std::uint32_t BackendHostState::limit() const
{
    return std::max<std::uint32_t>(m_load.limit, 1);
}

} // namespace lavendertally::routing
