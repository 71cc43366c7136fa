#pragma once

#include "framework/types/ids.h"

namespace lavendertally::admission {

/// Identifies one attempt across all entry processes.
struct WorkKey
{
    framework::DaemonId sender;
    framework::AttemptId attempt;

    auto operator<=>(const WorkKey &) const = default;
};

} // namespace lavendertally::admission
