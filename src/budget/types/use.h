#pragma once

#include <cstddef>

namespace lavendertally::budget {

/// What memory is held for on behalf of clients.
enum class Use
{
    /// Open connections without what they carry.
    Connections,
    /// Heads that are not complete, and requests sent ahead.
    Input,
    /// Request bodies that are being read or handled, with their copies.
    Bodies,
    /// Requests that are being handled, without their bodies and answers.
    Exchanges,
    /// Answers that clients have not taken, and what waits at its source behind them.
    Answers,
};

constexpr std::size_t UseCount = 5;

} // namespace lavendertally::budget
