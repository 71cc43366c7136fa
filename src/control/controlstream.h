#pragma once

#include "infrastructure/types/streamname.h"

namespace lavendertally::control {

/// \return stream of the log service that holds operators' changes and snapshots of the state
inline infrastructure::StreamName controlStream()
{
    return infrastructure::StreamName("control");
}

} // namespace lavendertally::control
