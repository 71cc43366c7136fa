#pragma once

namespace lavendertally::pipeline {

enum class RequestOutcome
{
    /// The whole answer.
    Done,
    /// Nothing of it ran that may not be repeated, and no answer will come.
    NotRun,
    /// A stage that may not be repeated may have run.
    Unknown,
};

} // namespace lavendertally::pipeline
