#include "proxy/internal/firsteventestimator.h"

#include <algorithm>
#include <cmath>

namespace lavendertally::proxy {

namespace {

/// Weight of the newest sample once there are many.
constexpr double SmoothingFactor = 0.02;

/// Used until a service has a measurement: time that an idle model engine takes for a prompt of a
/// few thousand tokens.
constexpr framework::Milliseconds DefaultTime{150};

/// Samples from which the slope is used; fewer are mostly noise.
constexpr std::uint32_t MinSamplesForSlope = 8;

} // namespace

framework::Milliseconds FirstEventEstimator::estimate(const framework::ServiceId &service,
                                                      framework::TokenCount prompt) const
{
    const auto found = m_moments.find(service);
    if (found == m_moments.end()) {
        return DefaultTime;
    }
    const Moments &moments = found->second;
    double expected = moments.meanTaken;
    if (moments.samples >= MinSamplesForSlope && moments.promptVariance > 0.0) {
        // A larger prompt never takes less time; a negative slope is noise.
        const double slope = std::max(moments.covariance / moments.promptVariance, 0.0);
        expected += slope * (static_cast<double>(prompt.value()) - moments.meanPrompt);
    }
    return framework::Milliseconds(std::llround(std::max(expected, 0.0)));
}

void FirstEventEstimator::observe(const framework::ServiceId &service, framework::TokenCount prompt,
                                  framework::Milliseconds taken)
{
    Moments &moments = m_moments[service];
    ++moments.samples;
    const double weight = std::max(SmoothingFactor, 1.0 / moments.samples);
    const double promptDelta = static_cast<double>(prompt.value()) - moments.meanPrompt;
    const double takenDelta = static_cast<double>(taken.value()) - moments.meanTaken;
    moments.meanPrompt += weight * promptDelta;
    moments.meanTaken += weight * takenDelta;
    moments.promptVariance =
        (1.0 - weight) * (moments.promptVariance + weight * promptDelta * promptDelta);
    moments.covariance = (1.0 - weight) * (moments.covariance + weight * promptDelta * takenDelta);
}

} // namespace lavendertally::proxy
