#pragma once

#include "framework/types/ids.h"

#include <string>

namespace lavendertally::configuration {

/// Whether an operator's change took effect. All replicas of the control stream reach the same
/// outcome.
struct OperationOutcome
{
    framework::OperationId operation;
    /// False when the change was rejected and is without effect.
    bool accepted = false;
    /// Offset of the first record of the operation, which determines the outcome.
    framework::LogOffset offset;
    /// Human-readable reason of the rejection; empty when the change was accepted.
    std::string explanation;

    bool operator==(const OperationOutcome &) const = default;
};

} // namespace lavendertally::configuration
