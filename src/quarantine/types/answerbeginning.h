#pragma once

#include <cstdint>

namespace lavendertally::quarantine {

/// Parts of the text after which a backend server counts as having survived the beginning of its
/// answer. One that crashes on a prompt may still send the first.
constexpr std::uint32_t TextPartsOfSurvivor = 2;

} // namespace lavendertally::quarantine
