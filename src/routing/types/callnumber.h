#pragma once

#include "framework/types/ordinal.h"

namespace lavendertally::routing {

struct CallNumberTag;

/// One call whose work is tracked; zero for none.
using CallNumber = framework::Ordinal<CallNumberTag>;

} // namespace lavendertally::routing
