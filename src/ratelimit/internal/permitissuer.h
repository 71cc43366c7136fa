#pragma once

#include "framework/types/ids.h"
#include "ratelimit/tokenbucket.h"

#include <cstdint>
#include <unordered_map>

namespace lavendertally::ratelimit {

/// Issues permits for requests to backend servers that name rate limits.
class PermitIssuer
{
public:
    /// \param rate requests per second to allow
    /// \return permits issued, at most \p wanted
    std::uint32_t issue(const framework::BackendServerId &server, framework::RequestRate rate,
                        std::uint32_t wanted, framework::TimePoint now);

    /// Forgets backend servers for which nothing was asked for \p lifetime.
    void expire(framework::Milliseconds lifetime, framework::TimePoint now);

    std::size_t size() const { return m_buckets.size(); }

private:
    struct Bucket
    {
        TokenBucket tokens;
        framework::TimePoint used;
    };

    std::unordered_map<framework::BackendServerId, Bucket> m_buckets;
};

} // namespace lavendertally::ratelimit
