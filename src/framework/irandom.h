#pragma once

#include <cstdint>

namespace lavendertally::framework {

/// Source of random numbers; decisions take it as an argument so that tests can seed it.
class IRandom
{
public:
    virtual ~IRandom() = default;

    /// \param bound exclusive upper bound, greater than zero
    /// \return a number in [0, bound)
    virtual std::uint64_t below(std::uint64_t bound) = 0;
};

} // namespace lavendertally::framework
