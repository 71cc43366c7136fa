#pragma once

namespace lavendertally::stages {

enum class PieceStatus
{
    Done,
    /// The time was up when its turn came.
    DeadlineExceeded,
    /// A result that it needs does not exist any more.
    InputMissing,
    /// No room for its result.
    StorageFull,
    Error,
};

} // namespace lavendertally::stages
