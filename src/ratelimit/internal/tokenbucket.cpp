#include "ratelimit/tokenbucket.h"

#include <algorithm>
#include <cmath>

namespace lavendertally::ratelimit {

namespace {

/// A rate of zero would never be tried again, so that its end would not be noticed.
constexpr framework::RequestRate MinRate{100};
/// Rates count per thousand seconds, times in milliseconds.
constexpr double MillisecondsPerRateUnit = 1000000.0;
/// Tokens are saved for this time, but always up to one.
constexpr double BurstMs = 500.0;
/// Makes up for the rounding of sums of parts of a token.
constexpr double Tolerance = 1e-6;

double perMillisecond(framework::RequestRate rate)
{
    return static_cast<double>(rate.value()) / MillisecondsPerRateUnit;
}

} // namespace

TokenBucket::TokenBucket(framework::RequestRate rate, framework::TimePoint now)
    : m_rate(std::max(rate, MinRate)), m_updated(now)
{ }

void TokenBucket::setRate(framework::RequestRate rate, framework::TimePoint now)
{
    m_tokens = tokens(now);
    m_updated = now;
    m_rate = std::max(rate, MinRate);
    m_tokens = std::min(m_tokens, capacity());
}

double TokenBucket::capacity() const
{
    return std::max(1.0, perMillisecond(m_rate) * BurstMs);
}

double TokenBucket::tokens(framework::TimePoint now) const
{
    const auto elapsed = static_cast<double>((now - m_updated).value());
    return std::min(capacity(), m_tokens + elapsed * perMillisecond(m_rate));
}

std::uint32_t TokenBucket::available(framework::TimePoint now) const
{
    return static_cast<std::uint32_t>(std::max(0.0, tokens(now) + Tolerance));
}

void TokenBucket::take(std::uint32_t count, framework::TimePoint now)
{
    m_tokens = tokens(now) - static_cast<double>(count);
    m_updated = now;
}

framework::Milliseconds TokenBucket::timeUntil(std::uint32_t count, framework::TimePoint now) const
{
    const double missing = static_cast<double>(count) - tokens(now);
    if (missing <= Tolerance) {
        return framework::Milliseconds(0);
    }
    return framework::Milliseconds(std::llround(std::ceil(missing / perMillisecond(m_rate))));
}

} // namespace lavendertally::ratelimit
