#pragma once

#include "protocol/types/stagerequest.h"

#include <functional>
#include <memory>

namespace lavendertally::transport {

class IStageResponder;

/// Serves stage requests in a host process.
class IStageHandler
{
public:
    virtual ~IStageHandler() = default;

    /// Called for each stage request.
    /// \param responder sends the answer; may be kept until sendResult()
    /// \return callback that is called once if the entry disconnects before the result is sent
    virtual std::function<void()> handle(protocol::StageRequest request,
                                         std::shared_ptr<IStageResponder> responder) = 0;
};

} // namespace lavendertally::transport
