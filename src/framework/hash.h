#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace lavendertally::framework {

/// \return XXH3 hash; the same in all processes and versions
inline std::uint64_t stableHash(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace lavendertally::framework
