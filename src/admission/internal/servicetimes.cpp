#include "admission/internal/servicetimes.h"

#include <algorithm>
#include <cstdlib>

namespace lavendertally::admission {

using framework::Milliseconds;
using framework::PipelineId;
using framework::TimePoint;

namespace {

constexpr std::int64_t MeanGain = 8;
constexpr std::int64_t DeviationGain = 4;
constexpr std::int64_t DeviationsTolerated = 4;
constexpr std::uint32_t SamplesBeforeJudging = 4;
constexpr std::size_t MaxPipelines = 64;

} // namespace

Milliseconds ServiceTimes::Smoothed::mean() const
{
    return Milliseconds(meanEighths / MeanGain);
}

void ServiceTimes::Smoothed::observe(Milliseconds sample, TimePoint now)
{
    updatedAt = now;
    ++samples;
    if (samples == 1) {
        meanEighths = sample.value() * MeanGain;
        deviationQuarters = sample.value() * DeviationGain / 2;
        return;
    }
    // Errors are clipped, so that a jump does not hide the samples after it.
    const std::int64_t bound = std::max<std::int64_t>(1, mean().value());
    const std::int64_t error = std::min(sample.value() - mean().value(), bound);
    meanEighths += error;
    deviationQuarters += std::abs(error) - deviationQuarters / DeviationGain;
}

void ServiceTimes::observe(const PipelineId &pipeline, Milliseconds sample, TimePoint now)
{
    m_overall.observe(sample, now);
    const auto known = m_pipelines.find(pipeline);
    if (known != m_pipelines.end()) {
        known->second.observe(sample, now);
    } else if (m_pipelines.size() < MaxPipelines) {
        m_pipelines[pipeline].observe(sample, now);
    }
}

Milliseconds ServiceTimes::expected(const PipelineId &pipeline, TimePoint now) const
{
    const auto known = m_pipelines.find(pipeline);
    if (known == m_pipelines.end()) {
        return Milliseconds(0);
    }
    const Smoothed &times = known->second;
    return now - times.updatedAt > times.mean() + m_lifetime ? Milliseconds(0) : times.mean();
}

bool ServiceTimes::isFarAbove(const PipelineId &pipeline, Milliseconds sample,
                              std::uint32_t ratio) const
{
    const auto known = m_pipelines.find(pipeline);
    if (known == m_pipelines.end() || known->second.samples < SamplesBeforeJudging) {
        return false;
    }
    const Smoothed &times = known->second;
    const Milliseconds spread(times.deviationQuarters / DeviationGain * DeviationsTolerated);
    return sample > times.mean() * ratio && sample > times.mean() + spread;
}

} // namespace lavendertally::admission
