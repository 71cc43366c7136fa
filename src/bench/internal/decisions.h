#pragma once

#include "routing/types/routing.h"

#include <memory>

namespace lavendertally::retry {
class IRetryPolicy;
class IStageBudget;
} // namespace lavendertally::retry

namespace lavendertally::bench {

/// Which decisions a run uses.
enum class Variant
{
    Policy,
    /// Random workers, first come first served, no limits, unlimited retries.
    Naive,
    /// The policy with deadlines that are never enforced.
    PolicyWithoutDeadlines,
};

/// The decisions of one entry.
struct Decisions
{
    routing::Routing routing;
    std::unique_ptr<retry::IRetryPolicy> retry;
    std::unique_ptr<retry::IStageBudget> budget;
    /// Whether work is cancelled once its request is too late.
    bool cancelsLate = true;
};

} // namespace lavendertally::bench
