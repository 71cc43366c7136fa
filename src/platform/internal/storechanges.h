#pragma once

#include "framework/types/ids.h"
#include "protocol/types/topicrecord.h"

#include <vector>

namespace lavendertally::platform {

/// Records read from one offset on.
struct StoreChanges
{
    std::vector<protocol::TopicRecord> records;
    /// Where to read on.
    framework::LogOffset next;
    /// Era of the store to which the offsets belong.
    framework::StoreEra era;
};

} // namespace lavendertally::platform
