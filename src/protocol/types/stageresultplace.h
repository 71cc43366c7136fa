#pragma once

#include "framework/types/ids.h"

namespace lavendertally::protocol {

/// Result of one piece, and the availability zone of the backend server that stores it.
struct StageResultPlace
{
    framework::StageResultId id;
    framework::AvailabilityZoneId zone;

    bool operator==(const StageResultPlace &) const = default;
};

} // namespace lavendertally::protocol
