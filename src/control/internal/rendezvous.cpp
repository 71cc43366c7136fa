#include "control/internal/rendezvous.h"

#include <xxhash.h>

namespace lavendertally::control {

std::uint64_t rendezvousWeight(const std::string &key, const std::string &node)
{
    const std::string text = key + '\n' + node;
    return XXH3_64bits(text.data(), text.size());
}

} // namespace lavendertally::control
