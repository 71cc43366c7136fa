#include "routing/internal/workerstate.h"

#include <algorithm>
#include <cmath>

namespace lavendertally::routing {

void WorkerState::callStarted()
{
    ++m_inFlight;
}

void WorkerState::callEnded()
{
    if (m_inFlight > 0) {
        --m_inFlight;
    }
}

void WorkerState::observeLoad(const protocol::LoadReport &load, framework::TimePoint now)
{
    const std::uint32_t total = load.running + load.queued;
    m_load = load;
    m_heard = true;
    m_reported = now;
    m_foreign = total > m_inFlight ? total - m_inFlight : 0;
    m_failures = 0;
    m_ejectedUntil = framework::TimePoint();
}

void WorkerState::observeFailure(const HostSelectorSettings &limits, double jitter,
                                 framework::TimePoint now)
{
    constexpr std::uint32_t MaxDoublings = 16;
    const std::uint32_t doublings = std::min(m_failures, MaxDoublings);
    const framework::Milliseconds doubled = limits.minEjection * (std::int64_t{1} << doublings);
    const framework::Milliseconds longest = std::min(doubled, limits.maxEjection);
    const auto spread = static_cast<double>(longest.value()) * (1.0 + jitter) / 2.0;
    m_ejectedUntil = now + framework::Milliseconds(std::lround(spread));
    ++m_failures;
}

bool WorkerState::isEjected(framework::TimePoint now) const
{
    if (m_failures == 0) {
        return false;
    }
    return now < m_ejectedUntil || m_inFlight > 0;
}

bool WorkerState::isColdWithoutRoom(const HostSelectorSettings &limits,
                                    framework::TimePoint now) const
{
    if (!isCold()) {
        return false;
    }
    if (!m_heard) {
        return m_inFlight > 0;
    }
    if (now - m_reported <= limits.coldReportLifetime) {
        return m_foreign + m_inFlight >= m_load.limit;
    }
    return m_inFlight > 0;
}

double WorkerState::reportWeight(const HostSelectorSettings &limits, framework::TimePoint now) const
{
    if (!m_heard) {
        return 0.0;
    }
    const auto age = static_cast<double>((now - m_reported).value());
    const auto lifetime = static_cast<double>(limits.reportLifetime.value());
    return std::clamp(1.0 - age / lifetime, 0.0, 1.0);
}

double WorkerState::foreignUtilisation() const
{
    return static_cast<double>(m_foreign) / limit();
}

double WorkerState::utilisation(const HostSelectorSettings &limits, double usualForeign,
                                framework::TimePoint now) const
{
    const double weight = reportWeight(limits, now);
    const double foreign = weight * foreignUtilisation() + (1.0 - weight) * usualForeign;
    return foreign + static_cast<double>(m_inFlight) / limit();
}

std::uint32_t WorkerState::limit() const
{
    return std::max<std::uint32_t>(m_load.limit, 1);
}

} // namespace lavendertally::routing
