#pragma once

#include "protocol/types/refusalreason.h"

namespace lavendertally::protocol {

/// \return name of \p reason in responses to callers, log fields and metric labels
const char *refusalReasonName(RefusalReason reason);

} // namespace lavendertally::protocol
