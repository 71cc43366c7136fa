#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"
#include "framework/types/units.h"

#include <cstdint>

namespace lavendertally::ratelimit {

/// Token bucket that allows a rate of requests with short bursts.
class TokenBucket
{
public:
    /// The bucket starts with one token.
    /// \param rate tokens that are added
    TokenBucket(framework::RequestRate rate, framework::TimePoint now);

    /// Changes the rate from \p now on.
    void setRate(framework::RequestRate rate, framework::TimePoint now);
    framework::RequestRate rate() const { return m_rate; }

    /// \return whole tokens in the bucket
    std::uint32_t available(framework::TimePoint now) const;
    /// Takes tokens; at most available().
    void take(std::uint32_t count, framework::TimePoint now);
    /// \return time until the bucket holds \p count tokens if none are taken before
    framework::Milliseconds timeUntil(std::uint32_t count, framework::TimePoint now) const;
    /// \return when the bucket holds \p count tokens if none are taken before
    framework::TimePoint availableAt(std::uint32_t count) const
    {
        return m_updated + timeUntil(count, m_updated);
    }

private:
    double tokens(framework::TimePoint now) const;
    double capacity() const;

    framework::RequestRate m_rate;
    double m_tokens = 1.0;
    framework::TimePoint m_updated;
};

} // namespace lavendertally::ratelimit
