#pragma once

#include "framework/types/milliseconds.h"
#include "standins/types/coldstartoptions.h"

#include <cstdint>

namespace lavendertally::standins {

/// Speed and size of a plain service.
struct ServiceOptions
{
    framework::Milliseconds serviceTime{2};
    /// Calls that run at once; more wait.
    std::uint32_t capacity = 8;
    /// Calls that wait; more are refused.
    std::uint32_t queueLimit = 64;
    /// Age of the load figures in its state.
    framework::Milliseconds reportLag;
    ColdStartOptions coldStart;
};

} // namespace lavendertally::standins
