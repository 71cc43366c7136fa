#include "routing/internal/rendezvous.h"

#include <array>
#include <xxhash.h>

namespace lavendertally::routing {

std::uint64_t hashName(const std::string &name)
{
    return XXH3_64bits(name.data(), name.size());
}

std::uint64_t rendezvousScore(std::uint64_t first, std::uint64_t second)
{
    const std::array<std::uint64_t, 2> pair{first, second};
    return XXH3_64bits(pair.data(), sizeof(pair));
}

} // namespace lavendertally::routing
