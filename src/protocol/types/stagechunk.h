#pragma once

#include "framework/types/ids.h"
#include "framework/types/units.h"

#include <cstdint>
#include <string>

namespace lavendertally::protocol {

/// Part of the result of a StageRequest that is streamed.
struct StageChunk
{
    framework::AttemptId attempt;
    /// Sequence number within the attempt; starts at zero, without gaps.
    std::uint64_t sequence = 0;
    /// Number of tokens in \c text.
    framework::TokenCount tokens;
    std::string text;

    bool operator==(const StageChunk &) const = default;
};

} // namespace lavendertally::protocol
