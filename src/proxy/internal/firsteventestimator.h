#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/units.h"

#include <cstdint>
#include <unordered_map>

namespace lavendertally::proxy {

/// Estimates how long a model service takes to the first event of a stream, as a linear function of
/// the prompt's size: exponentially weighted linear regression over recent requests. Answers a load
/// whose prompts differ much in size, where the time for an average one leaves large prompts too
/// little time after their stages.
class FirstEventEstimator
{
public:
    /// \return expected time from the start of an attempt to its first event
    framework::Milliseconds estimate(const framework::ServiceId &service,
                                     framework::TokenCount prompt) const;

    /// Records a measurement.
    /// \param taken time from the start of an attempt to its first event
    void observe(const framework::ServiceId &service, framework::TokenCount prompt,
                 framework::Milliseconds taken);

private:
    /// Moving averages of one service; \c prompt in tokens, \c taken in milliseconds.
    struct Moments
    {
        std::uint32_t samples = 0;
        double meanPrompt = 0.0;
        double meanTaken = 0.0;
        double promptVariance = 0.0;
        double covariance = 0.0;
    };

    std::unordered_map<framework::ServiceId, Moments> m_moments;
};

} // namespace lavendertally::proxy
