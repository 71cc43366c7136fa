#pragma once

#include "framework/types/stringid.h"

namespace lavendertally::infrastructure {

struct StreamTag;

/// Name of one stream of the log service.
using StreamName = framework::StringId<StreamTag>;

} // namespace lavendertally::infrastructure
