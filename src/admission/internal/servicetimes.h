#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"

#include <cstdint>
#include <map>

namespace lavendertally::admission {

/// Smoothed service time and its deviation, for each pipeline and over all. The smoothing is that
/// of RFC 6298, section 2, with errors clipped to the mean as in winsorized statistics.
class ServiceTimes
{
public:
    /// \param lifetime how long an estimate holds beyond its own length without a new sample
    explicit ServiceTimes(framework::Milliseconds lifetime) : m_lifetime(lifetime) { }

    void observe(const framework::PipelineId &pipeline, framework::Milliseconds sample,
                 framework::TimePoint now);

    /// \return smoothed time of the pipeline; zero while it is unknown or outdated, so that work
    /// refused for an old estimate cannot keep that estimate in force
    framework::Milliseconds expected(const framework::PipelineId &pipeline,
                                     framework::TimePoint now) const;
    /// \return smoothed time over all pipelines; zero while unknown
    framework::Milliseconds overall() const { return m_overall.mean(); }

    /// \param ratio multiple of the smoothed time that is still usual
    bool isFarAbove(const framework::PipelineId &pipeline, framework::Milliseconds sample,
                    std::uint32_t ratio) const;

private:
    /// Keeps the mean in eighths and the deviation in quarters of a millisecond, so that integer
    /// division loses nothing.
    struct Smoothed
    {
        std::int64_t meanEighths = 0;
        std::int64_t deviationQuarters = 0;
        std::uint32_t samples = 0;
        framework::TimePoint updatedAt;

        framework::Milliseconds mean() const;
        void observe(framework::Milliseconds sample, framework::TimePoint now);
    };

    framework::Milliseconds m_lifetime;
    Smoothed m_overall;
    std::map<framework::PipelineId, Smoothed> m_pipelines;
};

} // namespace lavendertally::admission
