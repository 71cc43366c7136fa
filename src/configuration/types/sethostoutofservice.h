#pragma once

#include "framework/types/ids.h"

namespace lavendertally::configuration {

/// Takes a host out of service or brings it back.
struct SetHostOutOfService
{
    framework::HostId host;
    bool isOutOfService = true;

    bool operator==(const SetHostOutOfService &) const = default;
};

} // namespace lavendertally::configuration
