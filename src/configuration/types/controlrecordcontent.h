#pragma once

#include "configuration/types/operatorchange.h"
#include "configuration/types/snapshotrecord.h"

#include <variant>

namespace lavendertally::configuration {

/// What a record of the control stream says.
using ControlRecordContent = std::variant<OperatorChange, SnapshotRecord>;

} // namespace lavendertally::configuration
