#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"

#include <cstddef>
#include <map>

namespace lavendertally::bench {

/// How a request ended for its caller.
enum class Ending
{
    InTime,
    Late,
    /// Provably not run, or given up before its last stage.
    Refused,
    /// It may have run.
    Unknown,
};

/// One request of a run.
struct Outcome
{
    std::size_t arrival = 0;
    Ending ending = Ending::Unknown;
    framework::TimePoint arrived;
    framework::Milliseconds latency;
    /// Time on backend servers, by service.
    std::map<framework::ServiceId, framework::Milliseconds> spent;
    /// Part of it that went into attempts without a result.
    framework::Milliseconds lost;
};

} // namespace lavendertally::bench
