#pragma once

#include "framework/types/ids.h"

namespace lavendertally::configuration {

/// Takes an availability zone out of service or brings it back.
struct SetZoneOut
{
    framework::AvailabilityZoneId zone;
    bool out = true;

    bool operator==(const SetZoneOut &) const = default;
};

} // namespace lavendertally::configuration
