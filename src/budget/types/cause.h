#pragma once

#include <cstddef>

namespace lavendertally::budget {

/// Why a client was refused or had to give way.
enum class Cause
{
    Memory,
    Descriptors,
    /// Too many requests are being handled.
    Exchanges,
};

constexpr std::size_t CauseCount = 3;

} // namespace lavendertally::budget
