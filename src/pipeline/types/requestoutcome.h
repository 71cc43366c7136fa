#pragma once

namespace lavendertally::pipeline {

enum class RequestOutcome
{
    /// The whole answer.
    Done,
    /// Provably no stage of it started.
    NotRun,
    /// Some stage has run or may have run, and there is no answer.
    Unknown,
};

} // namespace lavendertally::pipeline
