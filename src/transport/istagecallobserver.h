#pragma once

#include "protocol/types/stagechunk.h"
#include "protocol/types/stageresult.h"

namespace lavendertally::transport {

/// Receives the chunks and the result of a stage call.
class IStageCallObserver
{
public:
    virtual ~IStageCallObserver() = default;

    /// Called for each chunk of a streamed answer, in order of arrival.
    virtual void onChunk(const protocol::StageChunk &chunk) = 0;

    /// Called once, last. Without a result from the host process, the status is
    /// StageStatus::NotRun if no connection was established or the message was rejected, and
    /// StageStatus::Unknown if the call may have run: the connection broke, the call timed out or
    /// the answer was malformed.
    virtual void onResult(const protocol::StageResult &result) = 0;
};

} // namespace lavendertally::transport
