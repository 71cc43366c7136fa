#pragma once

#include "framework/types/quantity.h"

namespace lavendertally::framework {

struct MillisecondsTag;

/// Length of time in milliseconds.
using Milliseconds = Quantity<MillisecondsTag>;

} // namespace lavendertally::framework
