#pragma once

#include "framework/types/milliseconds.h"
#include "proxy/types/refusalkind.h"

#include <string>

namespace lavendertally::proxy {

/// Error response of the gateway itself, when there is no response of a backend server to forward.
struct Refusal
{
    RefusalKind kind = RefusalKind::NotRun;
    /// When the client may retry; only used with NotRun.
    framework::Milliseconds retryAfter;
    /// Cause, for the log and as a metric label.
    const char *cause = "";
    /// What the client may want to know beyond that; empty if nothing.
    std::string detail = {};
};

} // namespace lavendertally::proxy
