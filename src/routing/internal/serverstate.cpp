#include "routing/internal/serverstate.h"

#include <algorithm>
#include <cmath>

namespace lavendertally::routing {

namespace {

/// Age at which the weight of a load report reaches zero: a few times the usual interval between
/// two responses, which carry the reports.
constexpr framework::Milliseconds LoadReportLifetime{1000};
/// Weight of the newest call in the exponentially weighted moving averages.
constexpr double SmoothingFactor = 0.1;
/// Time for which a backend server gets no calls after it refused one, usually because it is full.
constexpr framework::Milliseconds RefusalBackoff{100};
/// Ejection after a transport failure; it doubles with each further one in a row.
constexpr framework::Milliseconds MinEjection{500};
constexpr framework::Milliseconds MaxEjection{8000};
/// Responses are overdue after this multiple of the average time until they start.
constexpr double OverdueFactor = 6.0;
/// Shortest time after which responses are overdue.
constexpr framework::Milliseconds MinOverdue{600};
constexpr double MillisecondsPerSecond = 1000.0;
/// Burst size of the requests to a backend server in cold start.
constexpr double MaxColdStartTokens = 1.0;

} // namespace

void ServerState::callStarted(framework::TimePoint now)
{
    ++m_inFlight;
    m_awaitingResponse.insert(now);
}

void ServerState::responseStarted(framework::TimePoint started, framework::TimePoint now)
{
    if (const auto found = m_awaitingResponse.find(started); found != m_awaitingResponse.end()) {
        m_awaitingResponse.erase(found);
    }
    m_lastResponse = now;
    const auto elapsed = static_cast<double>((now - started).value());
    m_smoothedResponseMs = m_smoothedResponseMs == 0.0
        ? elapsed
        : (1.0 - SmoothingFactor) * m_smoothedResponseMs + SmoothingFactor * elapsed;
}

void ServerState::callEnded(CallOutcome outcome, framework::TimePoint now)
{
    m_inFlight -= std::min<std::uint32_t>(m_inFlight, 1);
    if (m_awaitingResponse.size() > m_inFlight) {
        m_awaitingResponse.erase(m_awaitingResponse.begin());
    }
    if (outcome == CallOutcome::Cancelled) {
        return;
    }
    if (outcome == CallOutcome::Refused) {
        m_ejectedUntil = std::max(m_ejectedUntil, now + RefusalBackoff);
        return;
    }
    const bool succeeded = outcome == CallOutcome::Succeeded;
    m_failureRate = (1.0 - SmoothingFactor) * m_failureRate + (succeeded ? 0.0 : SmoothingFactor);
    if (outcome != CallOutcome::TransportFailed) {
        m_consecutiveTransportFailures = 0;
        return;
    }
    constexpr std::uint32_t MaxDoublings = 8;
    const std::int64_t factor = std::int64_t{1}
        << std::min(m_consecutiveTransportFailures, MaxDoublings);
    m_ejectedUntil = now + std::min(MinEjection * factor, MaxEjection);
    ++m_consecutiveTransportFailures;
}

void ServerState::observeLoad(const ServerLoad &load, framework::TimePoint now)
{
    const std::uint32_t total = load.running + load.waiting;
    m_externalCalls = total > m_inFlight ? total - m_inFlight : 0;
    m_loadReportedAt = now;
}

double ServerState::utilisation(std::uint32_t slots, framework::TimePoint now) const
{
    const auto age = static_cast<double>((now - m_loadReportedAt).value());
    const double weight =
        std::clamp(1.0 - age / static_cast<double>(LoadReportLifetime.value()), 0.0, 1.0);
    return (m_inFlight + weight * m_externalCalls) / std::max<std::uint32_t>(slots, 1);
}

bool ServerState::isEjected(framework::TimePoint now) const
{
    if (now < m_ejectedUntil) {
        return true;
    }
    if (m_awaitingResponse.empty()) {
        return false;
    }
    const framework::Milliseconds limit = std::max(
        MinOverdue, framework::Milliseconds(std::llround(m_smoothedResponseMs * OverdueFactor)));
    const framework::TimePoint oldest = *m_awaitingResponse.begin();
    return now - oldest > limit && now - m_lastResponse > limit;
}

double ServerState::coldStartTokens(double rate, framework::TimePoint now) const
{
    const auto elapsed =
        static_cast<double>((now - m_coldStartTokensAt).value()) / MillisecondsPerSecond;
    return std::min(MaxColdStartTokens, m_coldStartTokens + elapsed * rate);
}

bool ServerState::hasColdStartToken(double rate, framework::TimePoint now) const
{
    return coldStartTokens(rate, now) >= 1.0;
}

void ServerState::takeColdStartToken(double rate, framework::TimePoint now)
{
    m_coldStartTokens = coldStartTokens(rate, now) - 1.0;
    m_coldStartTokensAt = now;
}

} // namespace lavendertally::routing
