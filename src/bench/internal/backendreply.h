#pragma once

#include "framework/types/milliseconds.h"
#include "protocol/types/loadreport.h"
#include "retry/types/failurekind.h"

#include <optional>

namespace lavendertally::bench {

/// How a call to a backend server ended.
struct BackendReply
{
    /// Nothing when it succeeded.
    std::optional<retry::FailureKind> failure;
    framework::Milliseconds serviceTime;
    protocol::LoadReport load;
};

} // namespace lavendertally::bench
