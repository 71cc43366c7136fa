#pragma once

#include "framework/types/ids.h"
#include "framework/types/units.h"

#include <cstdint>
#include <string>

namespace lavendertally::protocol {

/// Part of a streamed result.
struct StageChunk
{
    framework::AttemptId attempt;
    /// Counts from zero within the attempt, without gaps.
    std::uint64_t sequence = 0;
    framework::TokenCount tokens;
    std::string text;

    bool operator==(const StageChunk &) const = default;
};

} // namespace lavendertally::protocol
