#pragma once

#include "accounting/types/usage.h"
#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/units.h"

#include <cstdint>

namespace lavendertally::accounting {

/// One attempt to run a stage, on which a backend server spent time.
struct StageAttempt
{
    framework::PipelineId pipeline;
    framework::StageId stage;
    framework::TeamId team;
    framework::ServiceId service;
    /// Time that the backend server spent on it.
    framework::Milliseconds serviceTime;
    /// Price of one backend server of the service per hour.
    framework::MicroCost costPerHour;
    /// Calls that one warm backend server runs at once; the attempt pays for one such slot.
    std::uint32_t concurrency = 1;
    Usage usage = Usage::Used;
};

} // namespace lavendertally::accounting
