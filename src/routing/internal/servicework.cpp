#include "routing/internal/servicework.h"

#include "routing/internal/serverwork.h"
#include "routing/types/requestwork.h"

#include <algorithm>
#include <cmath>

namespace lavendertally::routing {

namespace {

/// Weight of the newest sample once there are many; a gateway gets 10 to 20 a second.
constexpr double SmoothingFactor = 0.01;
/// Samples from which the regression is used.
constexpr double MinReadSamples = 20.0;
/// Bounds of the learned figures; beyond them a sample is noise.
constexpr double MinReadMs = 0.002;
constexpr double MaxReadMs = 0.1;
constexpr double MinWriteMs = 0.5;
constexpr double MaxWriteMs = 100.0;
constexpr double MaxFirstEventMs = 500.0;
/// Waiting calls of one server that count in the mean queue.
constexpr double MaxQueue = 15.0;
/// Tolerated pauses that are told apart; there are as many as routes with different ones.
constexpr std::size_t MaxGaps = 16;

double weightOf(std::uint32_t samples)
{
    return std::max(SmoothingFactor, 1.0 / samples);
}

} // namespace

void ServiceWork::callStarted(const RequestWork &work, double readTokens)
{
    m_meanReadTokens += weightOf(++m_calls) * (readTokens - m_meanReadTokens);
    if (m_gaps.size() >= MaxGaps && !m_gaps.contains(work.maxEventGap)) {
        return;
    }
    for (auto &[gap, share] : m_gaps) {
        share *= 1.0 - SmoothingFactor;
    }
    m_gaps[work.maxEventGap] += SmoothingFactor;
}

double ServiceWork::shareOfBrokenStreams(double pauseMs) const
{
    double broken = 0.0;
    double all = 0.0;
    for (const auto &[gap, share] : m_gaps) {
        all += share;
        if (gap > framework::Milliseconds(0) && static_cast<double>(gap.value()) < pauseMs) {
            broken += share;
        }
    }
    return all > 0.0 ? broken / all : 0.0;
}

void ServiceWork::loadReported(const ServerWork &server)
{
    const double weight = weightOf(++m_reports);
    m_meanOtherRunning += weight * (server.otherRunning() - m_meanOtherRunning);
    m_meanOtherWaiting += weight * (server.otherWaiting() - m_meanOtherWaiting);
    const double queue = std::min<double>(server.otherWaiting(), MaxQueue);
    m_meanQueue += weight * (queue - m_meanQueue);
}

double ServiceWork::observeRead(double readTokens, double taken)
{
    const double expected = m_firstEventMs + readTokens * m_readMs;
    m_reads.samples += 1.0;
    const double weight = std::max(SmoothingFactor, 1.0 / m_reads.samples);
    const double tokensDelta = readTokens - m_reads.tokens;
    const double takenDelta = taken - m_reads.taken;
    m_reads.tokens += weight * tokensDelta;
    m_reads.taken += weight * takenDelta;
    m_reads.variance = (1.0 - weight) * (m_reads.variance + weight * tokensDelta * tokensDelta);
    m_reads.covariance = (1.0 - weight) * (m_reads.covariance + weight * tokensDelta * takenDelta);
    if (m_reads.samples >= MinReadSamples && m_reads.variance > 0.0) {
        m_readMs = std::clamp(m_reads.covariance / m_reads.variance, MinReadMs, MaxReadMs);
        m_firstEventMs =
            std::clamp(m_reads.taken - m_readMs * m_reads.tokens, 0.0, MaxFirstEventMs);
    }
    return taken / std::max(expected, 1.0);
}

double ServiceWork::observeWrite(double perToken)
{
    const double ratio = perToken / m_writeMs;
    m_writeMs += weightOf(++m_writes) * (perToken - m_writeMs);
    m_writeMs = std::clamp(m_writeMs, MinWriteMs, MaxWriteMs);
    return ratio;
}

double ServiceWork::observeCall(const framework::RouteId &route, double taken)
{
    // Logarithms, since the times of plain services are skewed: equal servers get a mean ratio
    // of 1.
    CallTime &time = m_callTimes[route];
    const double log = std::log(std::max(taken, 1.0));
    const double ratio = time.samples > 0 ? std::exp(log - time.logMean) : 1.0;
    time.logMean += weightOf(++time.samples) * (log - time.logMean);
    return ratio;
}

} // namespace lavendertally::routing
