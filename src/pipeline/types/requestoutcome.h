#pragma once

namespace lavendertally::pipeline {

/// What is known about the execution of a request when it ends.
enum class RequestOutcome
{
    /// Every stage is done and the answer is complete.
    Done,
    /// No stage has run.
    NotRun,
    /// At least one stage has run or may have run, and there is no answer.
    Unknown,
};

} // namespace lavendertally::pipeline
