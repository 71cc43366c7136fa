#include "rollout/internal/oldanswers.h"

#include "rollout/internal/answertimes.h"

#include <algorithm>
#include <cmath>

namespace lavendertally::rollout {

namespace {

/// Time in which the weight of an answer falls to a third: long enough for a good estimate, short
/// enough to follow a change of the load.
constexpr double WindowMs = 4000.0;
/// Fewer sound answers do not tell what is slow.
constexpr double MinAnswers = 30.0;
/// Answers of the last report that count alone, so that a disturbance of both versions at once is
/// not held against the new one.
constexpr double MinRecentAnswers = 20.0;
/// Rates below this cannot be told apart by the answers that a small share gives.
constexpr double MinRate = 0.01;
constexpr double MaxRate = 0.9;
/// Answers and bad ones that are assumed before any was seen.
constexpr double PriorAnswers = 10.0;
constexpr double PriorBad = 0.2;
/// Standard errors that the upper estimate lies above the estimate.
constexpr double StandardErrors = 1.5;
/// Answers "several times slower" are those beyond this multiple of the median and beyond what is
/// usual for the slowest of the old version.
constexpr double SlowFactor = 2.0;
constexpr double UsualShare = 0.95;

} // namespace

double OldAnswers::Counts::slow(std::size_t above) const
{
    double count = 0.0;
    for (std::size_t index = above + 1; index < times.size(); ++index) {
        count += times[index];
    }
    return count;
}

void OldAnswers::update(const protocol::RolloutEvidence &total, framework::TimePoint now)
{
    if (total.answers == m_total.answers && total.failures == m_total.failures) {
        return;
    }
    const double decay = std::exp(-static_cast<double>((now - m_updated).value()) / WindowMs);
    m_updated = now;
    m_recent.answers = static_cast<double>(total.answers - m_total.answers);
    m_recent.failures = static_cast<double>(total.failures - m_total.failures);
    m_window.answers = m_window.answers * decay + m_recent.answers;
    m_window.failures = m_window.failures * decay + m_recent.failures;
    for (std::size_t index = 0; index < total.times.size(); ++index) {
        m_recent.times[index] = static_cast<double>(total.times[index] - m_total.times[index]);
        m_window.times[index] = m_window.times[index] * decay + m_recent.times[index];
    }
    m_total = total;
}

double OldAnswers::upperRate(double bad, double answers)
{
    const double weight = answers + PriorAnswers;
    const double rate = (bad + PriorBad) / weight;
    const double upper = rate + StandardErrors * std::sqrt(rate * (1.0 - rate) / weight);
    return std::clamp(upper, MinRate, MaxRate);
}

double OldAnswers::failureRate() const
{
    const double rate = upperRate(m_window.failures, m_window.answers);
    return m_recent.answers < MinRecentAnswers
        ? rate
        : std::max(rate, upperRate(m_recent.failures, m_recent.answers));
}

bool OldAnswers::knowsTimes() const
{
    return m_window.sound() >= MinAnswers;
}

std::size_t OldAnswers::slowAbove() const
{
    const framework::Milliseconds median =
        AnswerTimes::end(AnswerTimes::quantile(m_window.times, 0.5));
    const auto slow = static_cast<std::int64_t>(static_cast<double>(median.value()) * SlowFactor);
    return std::max(AnswerTimes::classOf(framework::Milliseconds(slow)),
                    AnswerTimes::quantile(m_window.times, UsualShare));
}

double OldAnswers::slowRate() const
{
    const std::size_t above = slowAbove();
    const double rate = upperRate(m_window.slow(above), m_window.sound());
    return m_recent.sound() < MinRecentAnswers
        ? rate
        : std::max(rate, upperRate(m_recent.slow(above), m_recent.sound()));
}

} // namespace lavendertally::rollout
