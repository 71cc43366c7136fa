#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lavendertally::standins {

/// A piece of a stage as a stand-in made it.
struct MadePiece
{
    std::string request;
    std::uint32_t stage = 0;
    /// Handle of the result.
    std::string result;
    /// Handles that the piece was given; empty if it was given a key.
    std::vector<std::string> inputs;
};

} // namespace lavendertally::standins
