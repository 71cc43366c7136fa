#pragma once

#include "framework/types/milliseconds.h"

namespace lavendertally::control {

/// How long a process trusts its configuration without confirmation.
struct IsolationLimits
{
    /// Without an answer of the log or of any other daemon.
    framework::Milliseconds maxSilence{60000};
    /// While it knows of a newer revision and cannot get it.
    framework::Milliseconds maxBehind{3000};
};

} // namespace lavendertally::control
