#pragma once

#include "framework/types/ids.h"

namespace lavendertally::platform {

/// Oldest record that a stream still keeps; travels beside PlatformError::Expired.
struct FirstKept
{
    framework::LogOffset offset;
};

} // namespace lavendertally::platform
