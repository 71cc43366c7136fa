#pragma once

namespace lavendertally::stages {

enum class StageCallStatus
{
    Answered,
    /// The backend server did nothing.
    NotRun,
    /// No answer, or one that makes no sense; results may lie there unused.
    Unknown,
};

} // namespace lavendertally::stages
