#pragma once

#include "framework/types/ids.h"
#include "platform/internal/storerecord.h"

#include <vector>

namespace lavendertally::platform {

/// Records read from one offset on.
struct StoreChanges
{
    std::vector<StoreRecord> records;
    /// Where to read on.
    framework::LogOffset next;
};

} // namespace lavendertally::platform
