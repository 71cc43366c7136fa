#include "routing/internal/serverstate.h"

#include <algorithm>
#include <cmath>

namespace lavendertally::routing {

namespace {

/// Age at which a stated load counts no more; a few times the pause between answers.
constexpr framework::Milliseconds LoadLifetime{1000};
/// Weight of the newest call in smoothed values.
constexpr double NewestWeight = 0.1;
/// A backend server that refused as full is left alone for a moment.
constexpr framework::Milliseconds RefusalPause{100};
/// Pause after a broken call, doubled with each one in a row.
constexpr framework::Milliseconds MinEjection{500};
constexpr framework::Milliseconds MaxEjection{8000};
/// An answer is overdue after this multiple of the usual time.
constexpr double OverdueFactor = 6.0;
/// Answers are never overdue sooner.
constexpr framework::Milliseconds MinOverdue{600};
constexpr double MillisecondsPerSecond = 1000.0;
/// Requests to a backend server in cold start that may be saved up.
constexpr double MaxColdTokens = 1.0;

} // namespace

void ServerState::callStarted(framework::TimePoint now)
{
    ++m_inFlight;
    m_unanswered.insert(now);
}

void ServerState::responseStarted(framework::TimePoint started, framework::TimePoint now)
{
    if (const auto found = m_unanswered.find(started); found != m_unanswered.end()) {
        m_unanswered.erase(found);
    }
    m_lastAnswer = now;
    const auto taken = static_cast<double>((now - started).value());
    m_answerTime =
        m_answerTime == 0.0 ? taken : (1.0 - NewestWeight) * m_answerTime + NewestWeight * taken;
}

void ServerState::callEnded(CallOutcome outcome, framework::TimePoint now)
{
    m_inFlight -= std::min<std::uint32_t>(m_inFlight, 1);
    if (m_unanswered.size() > m_inFlight) {
        m_unanswered.erase(m_unanswered.begin());
    }
    if (outcome == CallOutcome::Cancelled) {
        return;
    }
    if (outcome == CallOutcome::Refused) {
        m_avoidedUntil = std::max(m_avoidedUntil, now + RefusalPause);
        return;
    }
    const bool good = outcome == CallOutcome::Succeeded;
    m_failureRate = (1.0 - NewestWeight) * m_failureRate + (good ? 0.0 : NewestWeight);
    if (outcome != CallOutcome::TransportFailed) {
        m_brokenInRow = 0;
        return;
    }
    constexpr std::uint32_t MaxDoublings = 8;
    const std::int64_t factor = std::int64_t{1} << std::min(m_brokenInRow, MaxDoublings);
    m_avoidedUntil = now + std::min(MinEjection * factor, MaxEjection);
    ++m_brokenInRow;
}

void ServerState::observeLoad(const ServerLoad &load, framework::TimePoint now)
{
    const std::uint32_t total = load.running + load.waiting;
    m_foreign = total > m_inFlight ? total - m_inFlight : 0;
    m_loadAt = now;
}

double ServerState::utilisation(std::uint32_t slots, framework::TimePoint now) const
{
    const auto age = static_cast<double>((now - m_loadAt).value());
    const double weight =
        std::clamp(1.0 - age / static_cast<double>(LoadLifetime.value()), 0.0, 1.0);
    return (m_inFlight + weight * m_foreign) / std::max<std::uint32_t>(slots, 1);
}

bool ServerState::isAvoided(framework::TimePoint now) const
{
    if (now < m_avoidedUntil) {
        return true;
    }
    if (m_unanswered.empty()) {
        return false;
    }
    const framework::Milliseconds limit =
        std::max(MinOverdue, framework::Milliseconds(std::llround(m_answerTime * OverdueFactor)));
    const framework::TimePoint oldest = *m_unanswered.begin();
    return now - oldest > limit && now - m_lastAnswer > limit;
}

double ServerState::coldTokens(double rate, framework::TimePoint now) const
{
    const auto elapsed = static_cast<double>((now - m_coldAt).value()) / MillisecondsPerSecond;
    return std::min(MaxColdTokens, m_coldTokens + elapsed * rate);
}

bool ServerState::hasColdRoom(double rate, framework::TimePoint now) const
{
    return coldTokens(rate, now) >= 1.0;
}

void ServerState::takeColdRoom(double rate, framework::TimePoint now)
{
    m_coldTokens = coldTokens(rate, now) - 1.0;
    m_coldAt = now;
}

} // namespace lavendertally::routing
