#include "ratelimit/internal/permitissuer.h"

#include <algorithm>

namespace lavendertally::ratelimit {

std::uint32_t PermitIssuer::issue(const framework::BackendServerId &server,
                                  framework::RequestRate rate, std::uint32_t wanted,
                                  framework::TimePoint now)
{
    const auto position = m_buckets.try_emplace(server, Bucket{TokenBucket(rate, now), now}).first;
    Bucket &bucket = position->second;
    bucket.used = now;
    if (bucket.tokens.rate() != rate) {
        bucket.tokens.setRate(rate, now);
    }
    // Half of what there is goes to one daemon, so that the first one to ask leaves some for the
    // others.
    const std::uint32_t available = bucket.tokens.available(now);
    const std::uint32_t issued = std::min(wanted, (available + 1) / 2);
    bucket.tokens.take(issued, now);
    return issued;
}

void PermitIssuer::expire(framework::Milliseconds lifetime, framework::TimePoint now)
{
    std::erase_if(m_buckets, [&](const auto &entry) { return now - entry.second.used > lifetime; });
}

} // namespace lavendertally::ratelimit
