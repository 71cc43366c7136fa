#pragma once

namespace lavendertally::retry {

/// Whether an attempt that ended without a result may have taken effect.
enum class FailureKind
{
    /// The attempt was certainly not run.
    NotRun,
    /// The attempt may have been run.
    Unknown,
};

} // namespace lavendertally::retry
