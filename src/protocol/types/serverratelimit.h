#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/units.h"

#include <optional>

namespace lavendertally::protocol {

/// What a backend server last said of the requests per second that it takes from all daemons
/// together.
struct ServerRateLimit
{
    framework::BackendServerId server;
    /// Nothing if it no longer names a limit.
    std::optional<framework::RequestRate> rate;
    /// Time since the answer that said so.
    framework::Milliseconds age;

    bool operator==(const ServerRateLimit &) const = default;
};

} // namespace lavendertally::protocol
