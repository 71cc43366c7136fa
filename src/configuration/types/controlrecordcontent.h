#pragma once

#include "configuration/types/operatorchange.h"
#include "configuration/types/snapshotrecord.h"

#include <variant>

namespace lavendertally::configuration {

/// Decoded contents of a record of the control stream.
using ControlRecordContent = std::variant<OperatorChange, SnapshotRecord>;

} // namespace lavendertally::configuration
