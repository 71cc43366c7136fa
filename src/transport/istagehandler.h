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

    /// A request arrived.
    /// \return function that the transport calls once if the entry hangs up before the result
    virtual std::function<void()> handle(protocol::StageRequest request,
                                         std::shared_ptr<IStageResponder> responder) = 0;
};

} // namespace lavendertally::transport
