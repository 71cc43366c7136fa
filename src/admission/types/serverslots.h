#pragma once

#include "framework/types/ids.h"

#include <cstdint>

namespace lavendertally::admission {

/// Requests that one backend server processes concurrently.
struct ServerSlots
{
    framework::BackendServerId server;
    std::uint32_t slots = 1;
};

} // namespace lavendertally::admission
