#include "admission/internal/servicetimeestimator.h"

#include <algorithm>
#include <cstdlib>

namespace lavendertally::admission {

using framework::Milliseconds;
using framework::PipelineId;
using framework::TimePoint;

namespace {

/// Inverse gains of the smoothed mean and deviation, as in RFC 6298.
constexpr std::int64_t MeanGain = 8;
constexpr std::int64_t DeviationGain = 4;
/// A slow outlier exceeds the mean by more than this many deviations.
constexpr std::int64_t ToleratedDeviations = 4;
constexpr std::uint32_t MinSamplesForOutlier = 4;
/// Bounds memory; further pipelines have no estimate of their own.
constexpr std::size_t MaxPipelines = 64;

} // namespace

Milliseconds ServiceTimeEstimator::Estimate::mean() const
{
    return Milliseconds(meanEighths / MeanGain);
}

void ServiceTimeEstimator::Estimate::observe(Milliseconds sample, TimePoint now)
{
    updatedAt = now;
    ++samples;
    if (samples == 1) {
        meanEighths = sample.value() * MeanGain;
        deviationQuarters = sample.value() * DeviationGain / 2;
        return;
    }
    // Without clipping, one large jump would raise the mean so far that the slow samples after it
    // would no longer be outliers.
    const std::int64_t bound = std::max<std::int64_t>(1, mean().value());
    const std::int64_t error = std::min(sample.value() - mean().value(), bound);
    meanEighths += error;
    deviationQuarters += std::abs(error) - deviationQuarters / DeviationGain;
}

void ServiceTimeEstimator::observe(const PipelineId &pipeline, Milliseconds sample, TimePoint now)
{
    m_overall.observe(sample, now);
    const auto known = m_pipelines.find(pipeline);
    if (known != m_pipelines.end()) {
        known->second.observe(sample, now);
    } else if (m_pipelines.size() < MaxPipelines) {
        m_pipelines[pipeline].observe(sample, now);
    }
}

Milliseconds ServiceTimeEstimator::expected(const PipelineId &pipeline, TimePoint now) const
{
    const auto known = m_pipelines.find(pipeline);
    if (known == m_pipelines.end()) {
        return Milliseconds(0);
    }
    const Estimate &estimate = known->second;
    return now - estimate.updatedAt > estimate.mean() + m_lifetime ? Milliseconds(0)
                                                                   : estimate.mean();
}

bool ServiceTimeEstimator::isSlowOutlier(const PipelineId &pipeline, Milliseconds sample,
                                         std::uint32_t ratio) const
{
    const auto known = m_pipelines.find(pipeline);
    if (known == m_pipelines.end() || known->second.samples < MinSamplesForOutlier) {
        return false;
    }
    const Estimate &estimate = known->second;
    const Milliseconds spread(estimate.deviationQuarters / DeviationGain * ToleratedDeviations);
    return sample > estimate.mean() * ratio && sample > estimate.mean() + spread;
}

} // namespace lavendertally::admission
