#pragma once

#include "protocol/types/stagechunk.h"
#include "protocol/types/stageresult.h"

namespace lavendertally::transport {

/// Receives what a stage call brings.
class IStageCallObserver
{
public:
    virtual ~IStageCallObserver() = default;

    virtual void onChunk(const protocol::StageChunk &chunk) = 0;

    /// The call ended; nothing follows. A connection that never stood ends as
    /// StageStatus::NotRun, one that broke as StageStatus::Unknown.
    virtual void onResult(const protocol::StageResult &result) = 0;
};

} // namespace lavendertally::transport
