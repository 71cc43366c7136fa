#pragma once

#include "framework/types/ids.h"

namespace lavendertally::infrastructure {

/// Oldest record that a stream still keeps; travels beside InfrastructureError::Expired.
struct FirstKept
{
    framework::LogOffset offset;
};

} // namespace lavendertally::infrastructure
