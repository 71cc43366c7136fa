#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"

#include <cstdint>
#include <map>

namespace lavendertally::admission {

/// Estimates the service time and its mean deviation, per pipeline and over all pipelines. The
/// smoothing follows RFC 6298, section 2; upward errors are clipped to the mean, as in winsorized
/// statistics.
class ServiceTimeEstimator
{
public:
    /// \param lifetime an estimate is outdated after its own length plus this time without a sample
    explicit ServiceTimeEstimator(framework::Milliseconds lifetime) : m_lifetime(lifetime) { }

    /// Adds the service time of a successful completion.
    void observe(const framework::PipelineId &pipeline, framework::Milliseconds sample,
                 framework::TimePoint now);

    /// \return smoothed service time of the pipeline; zero if it is unknown or outdated. An
    /// outdated estimate must not count: items refused because of it would never run and correct
    /// it.
    framework::Milliseconds expected(const framework::PipelineId &pipeline,
                                     framework::TimePoint now) const;
    /// \return smoothed service time over all pipelines; zero while unknown
    framework::Milliseconds overall() const { return m_overall.mean(); }

    /// \param pipeline pipeline of the sample
    /// \param sample service time
    /// \param ratio a slow outlier exceeds the smoothed service time by more than this factor
    /// \return whether the sample is a slow outlier; false while the pipeline has few samples
    bool isSlowOutlier(const framework::PipelineId &pipeline, framework::Milliseconds sample,
                       std::uint32_t ratio) const;

private:
    /// Exponentially smoothed mean and deviation. The mean is kept in eighths and the deviation in
    /// quarters of a millisecond, so that integer division loses no precision.
    struct Estimate
    {
        std::int64_t meanEighths = 0;
        std::int64_t deviationQuarters = 0;
        std::uint32_t samples = 0;
        framework::TimePoint updatedAt;

        framework::Milliseconds mean() const;
        void observe(framework::Milliseconds sample, framework::TimePoint now);
    };

    framework::Milliseconds m_lifetime;
    Estimate m_overall;
    std::map<framework::PipelineId, Estimate> m_pipelines;
};

} // namespace lavendertally::admission
