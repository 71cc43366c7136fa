#pragma once

namespace lavendertally::stages {

/// Status of a piece in an answered call.
enum class PieceStatus
{
    Done,
    /// The deadline passed before the backend server started the piece.
    DeadlineExceeded,
    /// A result of a preceding stage that the piece needs no longer exists.
    InputMissing,
    /// The backend server has no storage left for the result.
    StorageFull,
    /// Any other failure.
    Error,
};

} // namespace lavendertally::stages
