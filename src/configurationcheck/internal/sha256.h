#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace lavendertally::configurationcheck {

/// \return SHA-256 of \p text (FIPS 180-4) as eight words, the first one most significant
std::array<std::uint32_t, 8> sha256(std::string_view text);

} // namespace lavendertally::configurationcheck
