#pragma once

#include "platform/types/streamname.h"

namespace lavendertally::control {

/// \return stream of the log service that holds operators' changes and snapshots of the state
inline platform::StreamName controlStream()
{
    return platform::StreamName("control");
}

} // namespace lavendertally::control
