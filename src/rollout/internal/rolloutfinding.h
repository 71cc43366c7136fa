#pragma once

#include "framework/types/ids.h"

#include <cstdint>

namespace lavendertally::rollout {

/// Why a version counts as bad.
struct RolloutFinding
{
    enum class Kind
    {
        Failures,
        SlowAnswers,
    };

    Kind kind = Kind::Failures;
    /// Empty if only the answers of all routes together show it.
    framework::RouteId route;
    /// Answers of the new version so far, and the bad ones among them.
    std::uint64_t answers = 0;
    std::uint64_t bad = 0;
    /// Rate of bad answers of the old version over the same period, at most.
    double ordinaryRate = 0.0;
};

} // namespace lavendertally::rollout
