#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/units.h"

#include <cstdint>

namespace lavendertally::serving {

/// How each backend server of a stage's service works: on batches of pieces, each batch one call.
struct StagePool
{
    /// Calls in progress at once.
    std::uint32_t slots = 1;
    /// Calls that may wait.
    std::uint32_t queueLimit = 0;
    /// Pieces in one call at most.
    std::uint32_t batchSize = 1;
    /// Time of a call without its pieces.
    framework::Milliseconds callOverhead;
    /// Usual time of one piece.
    framework::Microseconds pieceTime;
    /// Room for results.
    framework::Bytes resultCapacity;
    /// How long a result is kept after its call.
    framework::Milliseconds resultLifetime;

    /// \return time of a call with \p pieces
    framework::Milliseconds batchTime(std::uint32_t pieces) const
    {
        constexpr std::int64_t MicrosecondsPerMillisecond = 1000;
        return callOverhead
            + framework::Milliseconds(pieceTime.value() * pieces / MicrosecondsPerMillisecond);
    }
};

} // namespace lavendertally::serving
