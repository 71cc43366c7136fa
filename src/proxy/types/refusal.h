#pragma once

#include "framework/types/milliseconds.h"
#include "proxy/types/refusalkind.h"

namespace lavendertally::proxy {

/// Answer of our own to a request that gets none from a backend server.
struct Refusal
{
    RefusalKind kind = RefusalKind::NotRun;
    /// When the client may come back; only for NotRun.
    framework::Milliseconds retryAfter;
    /// Cause, for the log.
    const char *cause = "";
};

} // namespace lavendertally::proxy
