#pragma once

#include "framework/types/timepoint.h"
#include "soak/internal/requestkind.h"

#include <cstddef>
#include <string>

namespace lavendertally::soak {

/// A request of the load, and what became of it.
struct SentRequest
{
    RequestKind kind = RequestKind::Booking;
    std::string team;
    std::size_t gateway = 0;
    framework::TimePoint sent;
    bool ended = false;
    /// Status of a whole answer, or zero.
    int status = 0;
    std::size_t runs = 0;
};

} // namespace lavendertally::soak
