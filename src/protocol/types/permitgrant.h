#pragma once

#include "protocol/types/permitcount.h"
#include "protocol/types/serverratelimit.h"

#include <cstdint>
#include <vector>

namespace lavendertally::protocol {

/// Answer to a PermitRequest; also sent unsolicited, without permits, when limits change.
struct PermitGrant
{
    /// Number of the request; zero if unsolicited.
    std::uint64_t sequence = 0;
    std::vector<ServerRateLimit> limits;
    /// Valid for ratelimit::permitLifetime() from when the request was sent.
    std::vector<PermitCount> permits;

    bool operator==(const PermitGrant &) const = default;
};

} // namespace lavendertally::protocol
