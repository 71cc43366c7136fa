#pragma once

#include "configuration/types/applyfiles.h"
#include "configuration/types/sethostoutofservice.h"
#include "configuration/types/setzoneoutofservice.h"
#include "framework/types/ids.h"

#include <variant>

namespace lavendertally::configuration {

/// One change that an operator asks for.
struct OperatorChange
{
    /// Chosen by the operator's tool; a change that is appended twice counts once.
    framework::OperationId operation;
    std::variant<ApplyFiles, SetZoneOutOfService, SetHostOutOfService> change;

    bool operator==(const OperatorChange &) const = default;
};

} // namespace lavendertally::configuration
