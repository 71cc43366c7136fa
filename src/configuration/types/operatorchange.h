#pragma once

#include "configuration/types/applyfiles.h"
#include "configuration/types/sethostoutofservice.h"
#include "configuration/types/setzoneoutofservice.h"
#include "framework/types/ids.h"

#include <variant>

namespace lavendertally::configuration {

/// Change of the configuration requested by an operator.
struct OperatorChange
{
    /// Idempotency key chosen by the operator's tool; a change that is appended twice is applied
    /// once.
    framework::OperationId operation;
    std::variant<ApplyFiles, SetZoneOutOfService, SetHostOutOfService> change;

    bool operator==(const OperatorChange &) const = default;
};

} // namespace lavendertally::configuration
