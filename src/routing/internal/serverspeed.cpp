#include "routing/internal/serverspeed.h"

#include <algorithm>
#include <cmath>

namespace lavendertally::routing {

namespace {

/// Weight of the newest sample once there are many. A gateway gets one from each of 58 model
/// servers in three to six seconds.
constexpr double SmoothingFactor = 0.1;
/// Samples with which the average of the service counts, so that one slow call says little.
constexpr double PriorSamples = 3.0;
/// Ratios beyond these say nothing of the speed, but of an outage.
constexpr double MinRatio = 0.2;
constexpr double MaxRatio = 8.0;
/// Time in which what was learned falls to 1/e: a server that got no calls because it was slow is
/// tried again.
constexpr double LearnedLifetimeMs = 120000.0;
/// The same for a reported speed, which changes within some hundred milliseconds.
constexpr double ReportLifetimeMs = 300.0;
/// Weight of the newest report in the usual one.
constexpr double UsualReportSmoothing = 0.05;
constexpr double Percent = 100.0;
/// Plain services, whose calls vary much in length: ratio up to which servers count as equally
/// fast, the samples needed to tell otherwise, and the standard errors that the difference must
/// exceed.
constexpr double CallSmoothingFactor = 0.03;
constexpr double ClearRatio = 1.3;
constexpr std::uint32_t MinClearSamples = 10;
constexpr double ClearDeviations = 3.5;

double ageMs(framework::TimePoint since, framework::TimePoint now)
{
    return std::max(static_cast<double>((now - since).value()), 0.0);
}

} // namespace

void ServerSpeed::Average::observe(double ratio, double smoothing, framework::TimePoint now)
{
    ++samples;
    at = now;
    const double weight = std::max(smoothing, 1.0 / (samples + PriorSamples));
    const double delta = std::log(std::clamp(ratio, MinRatio, MaxRatio)) - log;
    log += weight * delta;
    variance = (1.0 - weight) * (variance + weight * delta * delta);
}

double ServerSpeed::Average::value(framework::TimePoint now) const
{
    return samples == 0 ? 1.0 : std::exp(log * std::exp(-ageMs(at, now) / LearnedLifetimeMs));
}

void ServerSpeed::observeRead(double ratio, framework::TimePoint now)
{
    m_read.observe(ratio, SmoothingFactor, now);
}

void ServerSpeed::observeWrite(double ratio, framework::TimePoint now)
{
    m_write.observe(ratio, SmoothingFactor, now);
}

void ServerSpeed::observeCall(double ratio, framework::TimePoint now)
{
    m_call.observe(ratio, CallSmoothingFactor, now);
}

void ServerSpeed::observeReport(std::uint32_t percent, framework::TimePoint now)
{
    m_reported = std::clamp(percent / Percent, MinRatio, MaxRatio);
    m_usualReported += UsualReportSmoothing * (m_reported - m_usualReported);
    m_reportedAt = now;
}

double ServerSpeed::present(framework::TimePoint now) const
{
    const double weight = std::exp(-ageMs(m_reportedAt, now) / ReportLifetimeMs);
    return weight * m_reported + (1.0 - weight) * m_usualReported;
}

double ServerSpeed::readTime(framework::TimePoint now) const
{
    return m_read.value(now) * present(now);
}

double ServerSpeed::writeTime(framework::TimePoint now) const
{
    return m_write.value(now) * present(now);
}

double ServerSpeed::callTime(framework::TimePoint now) const
{
    if (m_call.samples < MinClearSamples) {
        return 1.0;
    }
    const double averaged =
        std::max(CallSmoothingFactor / (2.0 - CallSmoothingFactor), 1.0 / m_call.samples);
    const double chance = ClearDeviations * std::sqrt(m_call.variance * averaged);
    const double ratio = m_call.value(now);
    const bool isClear = std::abs(std::log(ratio)) > std::max(chance, std::log(ClearRatio));
    return isClear ? ratio : 1.0;
}

} // namespace lavendertally::routing
