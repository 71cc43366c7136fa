#pragma once

namespace lavendertally::retry {

/// How an attempt ended without a result.
enum class FailureKind
{
    /// Provably not run.
    NotRun,
    /// It may have run.
    Unknown,
};

} // namespace lavendertally::retry
