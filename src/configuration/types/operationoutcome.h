#pragma once

#include "framework/types/ids.h"

#include <string>

namespace lavendertally::configuration {

/// What the control stream made of an operator's change; every reader gives the same verdict.
struct OperationOutcome
{
    framework::OperationId operation;
    bool accepted = false;
    /// Offset of the record that decided.
    framework::LogOffset offset;
    /// Why it is void, for people; empty when it was accepted.
    std::string explanation;

    bool operator==(const OperationOutcome &) const = default;
};

} // namespace lavendertally::configuration
