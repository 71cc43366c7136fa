#pragma once

#include "framework/types/stringid.h"

namespace lavendertally::platform {

struct StreamTag;

/// Name of one stream of the log service.
using StreamName = framework::StringId<StreamTag>;

} // namespace lavendertally::platform
