#pragma once

#include "framework/types/ids.h"
#include "protocol/types/topicrecord.h"

#include <vector>

namespace lavendertally::platform {

/// Newest records of a keyed topic, as far as one call returns them.
struct StorePage
{
    std::vector<protocol::TopicRecord> records;
    /// End of the topic when the page was made.
    framework::LogOffset end;
    bool hasMore = false;
    /// Era of the store in which the page was made.
    framework::StoreEra era;
};

} // namespace lavendertally::platform
