#pragma once

#include "framework/types/ids.h"

#include <cstdint>

namespace lavendertally::protocol {

/// A number of permits, each for one request to a backend server that names a rate limit.
struct PermitCount
{
    framework::BackendServerId server;
    std::uint32_t count = 0;

    bool operator==(const PermitCount &) const = default;
};

} // namespace lavendertally::protocol
