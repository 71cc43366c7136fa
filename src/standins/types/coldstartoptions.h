#pragma once

#include "framework/types/milliseconds.h"

#include <cstdint>

namespace lavendertally::standins {

/// How a backend server behaves after a start.
struct ColdStartOptions
{
    bool startsCold = false;
    /// Calls at once that it bears while cold; one more and it falls over.
    std::uint32_t limit = 2;
    /// Completed calls after which it is warm.
    std::uint32_t warmAfterCalls = 16;
    /// Time after which it is warm whatever it has completed; zero means never.
    framework::Milliseconds warmAfter;
    /// Time for which it is not ready after it has fallen over.
    framework::Milliseconds recovery{500};
    /// Times as long that a call takes while cold.
    std::uint32_t slowdown = 2;
};

} // namespace lavendertally::standins
