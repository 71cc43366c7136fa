#pragma once

#include "protocol/types/stagechunk.h"
#include "protocol/types/stageresult.h"

namespace lavendertally::transport {

/// The way back to the entry that sent a stage request.
class IStageResponder
{
public:
    virtual ~IStageResponder() = default;

    virtual void sendChunk(const protocol::StageChunk &chunk) = 0;

    /// Sends the last message; the responder is of no further use.
    virtual void sendResult(const protocol::StageResult &result) = 0;
};

} // namespace lavendertally::transport
