#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/units.h"

#include <cstdint>

namespace lavendertally::serving {

/// Capacity and speed of each backend server of a stage's service. A server processes pieces in
/// batches, one call per batch.
struct StagePool
{
    /// Calls that run concurrently.
    std::uint32_t slots = 1;
    /// Calls that may be queued.
    std::uint32_t queueLimit = 0;
    /// Maximum number of pieces in one call.
    std::uint32_t batchSize = 1;
    /// Fixed time of a call, without its pieces.
    framework::Milliseconds callOverhead;
    /// Expected time of one piece.
    framework::Microseconds pieceTime;
    /// Memory for stage results.
    framework::Bytes resultCapacity;
    /// How long a result is kept after its call has ended.
    framework::Milliseconds resultLifetime;

    /// \return expected time of a call with this many pieces
    framework::Milliseconds batchTime(std::uint32_t pieces) const
    {
        constexpr std::int64_t MicrosecondsPerMillisecond = 1000;
        return callOverhead
            + framework::Milliseconds(pieceTime.value() * pieces / MicrosecondsPerMillisecond);
    }
};

} // namespace lavendertally::serving
