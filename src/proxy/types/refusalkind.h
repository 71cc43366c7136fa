#pragma once

namespace lavendertally::proxy {

enum class RefusalKind
{
    NoRoute,
    UnknownKey,
    /// Has not run and never will.
    NotRun,
    /// A backend server may have run it, and its answer is lost.
    ResponseLost,
    /// The time is up; a backend server may have run it.
    TimedOut,
};

} // namespace lavendertally::proxy
