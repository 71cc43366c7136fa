#pragma once

#include "protocol/types/refusalreason.h"

namespace lavendertally::protocol {

/// \return name of \p reason as callers, logs and metrics show it
const char *refusalReasonName(RefusalReason reason);

} // namespace lavendertally::protocol
