#pragma once

namespace lavendertally::stages {

enum class PieceStatus
{
    Done,
    /// The time was up when its turn came.
    Late,
    /// A result that it needs does not exist any more.
    InputGone,
    /// No room for its result.
    NoRoom,
    Error,
};

} // namespace lavendertally::stages
