#pragma once

namespace lavendertally::backends {

enum class BackendError
{
    /// The call was never sent or the backend server refused it before running it.
    NotRun,
    /// The call may have run.
    Unknown,
};

} // namespace lavendertally::backends
