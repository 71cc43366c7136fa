#pragma once

#include "protocol/types/stagechunk.h"
#include "protocol/types/stageresult.h"

#include <functional>

namespace lavendertally::transport {

/// Sends the answer to the entry that sent a stage request.
class IStageResponder
{
public:
    virtual ~IStageResponder() = default;

    /// Sends one chunk of a streamed answer, ahead of the result.
    virtual void sendChunk(const protocol::StageChunk &chunk) = 0;

    /// \return whether the entry has not taken a bounded part of the answer yet; no more should be
    /// sent until the function given to onCaughtUp() is called
    virtual bool isBehind() const = 0;
    /// \param callback called each time the entry has been sent all of an answer that goes on
    virtual void onCaughtUp(std::function<void()> callback) = 0;

    /// Sends the result and ends the answer. The responder must not be used afterwards.
    virtual void sendResult(const protocol::StageResult &result) = 0;
};

} // namespace lavendertally::transport
