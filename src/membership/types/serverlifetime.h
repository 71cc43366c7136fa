#pragma once

#include "framework/types/ids.h"

namespace lavendertally::membership {

/// One start of a backend server: it may start again under the same id.
struct ServerLifetime
{
    framework::BackendServerId id;
    /// Rises with each start; zero if it is not known.
    framework::Incarnation incarnation;
};

} // namespace lavendertally::membership
