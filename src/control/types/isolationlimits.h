#pragma once

#include "framework/types/milliseconds.h"

namespace lavendertally::control {

/// How long a process trusts its configuration without confirmation.
struct IsolationLimits
{
    /// Maximum time since the log or another daemon last confirmed the revision in force.
    framework::Milliseconds maxSilence{60000};
    /// Maximum time during which a newer revision is known but has not been applied.
    framework::Milliseconds maxBehind{3000};
};

} // namespace lavendertally::control
