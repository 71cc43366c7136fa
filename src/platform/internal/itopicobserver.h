#pragma once

#include "framework/types/timepoint.h"
#include "platform/internal/storerecord.h"

#include <vector>

namespace lavendertally::platform {

/// Receives what a TopicReader reads.
class ITopicObserver
{
public:
    virtual ~ITopicObserver() = default;

    /// All newest records of the topic.
    /// \param asked when the first call was sent: nothing written before was missed
    virtual void onSnapshot(const std::vector<StoreRecord> &records,
                            framework::TimePoint asked) = 0;

    /// Changes since the last call.
    virtual void onChanges(const std::vector<StoreRecord> &records, framework::TimePoint asked) = 0;

    /// The topic can be read again; called before the records that were missed.
    virtual void onReturned() = 0;
};

} // namespace lavendertally::platform
