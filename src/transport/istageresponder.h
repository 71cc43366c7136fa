#pragma once

#include "protocol/types/stagechunk.h"
#include "protocol/types/stageresult.h"

namespace lavendertally::transport {

/// Sends the answer to the entry that sent a stage request.
class IStageResponder
{
public:
    virtual ~IStageResponder() = default;

    /// Sends one chunk of a streamed answer, ahead of the result.
    virtual void sendChunk(const protocol::StageChunk &chunk) = 0;

    /// Sends the result and ends the answer. The responder must not be used afterwards.
    virtual void sendResult(const protocol::StageResult &result) = 0;
};

} // namespace lavendertally::transport
