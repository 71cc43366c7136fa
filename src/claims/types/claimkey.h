#pragma once

#include "framework/types/ids.h"

#include <compare>

namespace lavendertally::claims {

/// Identifies a stage of a request that may run at most once.
struct ClaimKey
{
    framework::TeamId team;
    framework::RequestId request;
    framework::StageId stage;

    auto operator<=>(const ClaimKey &) const = default;
};

} // namespace lavendertally::claims
