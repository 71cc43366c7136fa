#pragma once

#include "framework/types/milliseconds.h"

namespace lavendertally::standins {

struct HostListOptions
{
    /// Age of the list that is answered.
    framework::Milliseconds lag;
};

} // namespace lavendertally::standins
