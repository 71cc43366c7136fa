#pragma once

#include "framework/types/ids.h"

namespace lavendertally::configuration {

/// Takes an availability zone out of service or brings it back.
struct SetZoneOutOfService
{
    framework::AvailabilityZoneId zone;
    bool isOutOfService = true;

    bool operator==(const SetZoneOutOfService &) const = default;
};

} // namespace lavendertally::configuration
