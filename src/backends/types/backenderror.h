#pragma once

namespace lavendertally::backends {

/// Failure of a backend call, by whether the call may have run.
enum class BackendError
{
    /// The call was not sent, or the backend server rejected it before running it.
    NotRun,
    /// The call may have run.
    Unknown,
};

} // namespace lavendertally::backends
