#pragma once

#include "framework/types/ids.h"

namespace lavendertally::admission {

/// What the backend server last said about itself.
struct BackendHealth
{
    framework::Incarnation incarnation;
    /// Whether it answers and has loaded what it serves.
    bool ready = false;
    /// Whether it says that it is in cold start.
    bool cold = false;
};

} // namespace lavendertally::admission
