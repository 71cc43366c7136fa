#pragma once

#include "framework/types/ids.h"

namespace lavendertally::configuration {

/// Takes a host out of service or brings it back.
struct SetHostOut
{
    framework::HostId host;
    bool out = true;

    bool operator==(const SetHostOut &) const = default;
};

} // namespace lavendertally::configuration
