#pragma once

#include "framework/types/ids.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace lavendertally::protocol {

/// Number of classes of answer times; see rollout::AnswerTimes.
constexpr std::size_t RolloutTimeClasses = 64;

/// Answers of one version of a service on one route, counted since a gateway saw the order.
struct RolloutEvidence
{
    framework::RouteId route;
    /// Whether the order's target gave them, or the version before.
    bool isTarget = false;
    std::uint64_t answers = 0;
    std::uint64_t failures = 0;
    /// Answers that did not fail, by class of their time.
    std::array<std::uint64_t, RolloutTimeClasses> times{};

    bool operator==(const RolloutEvidence &) const = default;
};

} // namespace lavendertally::protocol
