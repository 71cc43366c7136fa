#pragma once

#include "framework/types/ids.h"

namespace lavendertally::admission {

/// Latest health report of a backend server.
struct BackendHealth
{
    framework::Incarnation incarnation;
    /// Whether it responds and has loaded its models.
    bool ready = false;
    /// Whether it reports that it is in cold start.
    bool cold = false;
};

} // namespace lavendertally::admission
