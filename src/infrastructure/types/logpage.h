#pragma once

#include "framework/types/ids.h"
#include "infrastructure/types/logrecord.h"

#include <vector>

namespace lavendertally::infrastructure {

/// Consecutive records of one stream.
struct LogPage
{
    /// Offset of the oldest record that is still kept.
    framework::LogOffset first;
    /// Offset to read from next.
    framework::LogOffset next;
    /// Offset that the next append will get, as far as the answering replica knows.
    framework::LogOffset end;
    std::vector<LogRecord> records;
};

} // namespace lavendertally::infrastructure
