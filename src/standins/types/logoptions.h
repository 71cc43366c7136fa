#pragma once

#include "framework/types/milliseconds.h"

#include <cstdint>

namespace lavendertally::standins {

/// Retention and limits of the log service.
struct LogOptions
{
    /// Records kept in each stream.
    std::uint32_t retentionRecords = 1000000;
    /// Time for which a record is kept; zero means for ever.
    framework::Milliseconds retentionTime;
    /// Appends accepted within any second.
    std::uint32_t appendsPerSecond = 500;
    /// Age of the state that reads are answered from.
    framework::Milliseconds lag;
};

} // namespace lavendertally::standins
