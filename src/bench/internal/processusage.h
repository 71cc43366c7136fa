#pragma once

#include "framework/types/units.h"

#include <cstdint>
#include <sys/types.h>

namespace lavendertally::bench {

/// What a process has used, from /proc.
struct ProcessUsage
{
    /// Processor time of all its threads, in microseconds.
    std::int64_t processorMicros = 0;
    framework::Bytes resident;

    static ProcessUsage of(pid_t pid);
};

} // namespace lavendertally::bench
