#pragma once

namespace lavendertally::stages {

/// Status of a call to a backend server.
enum class StageCallStatus
{
    /// The backend server answered; each piece has its own status.
    Answered,
    /// The backend server refused the call and ran none of its pieces.
    NotRun,
    /// No answer or an invalid one. The pieces may have run, and their results may occupy storage.
    Unknown,
};

} // namespace lavendertally::stages
