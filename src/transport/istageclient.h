#pragma once

#include "framework/types/endpoint.h"

#include <memory>

namespace lavendertally::protocol {
struct StageRequest;
}

namespace lavendertally::transport {

class IStageCall;
class IStageCallObserver;

/// Sends stage calls from an entry to host processes.
class IStageClient
{
public:
    virtual ~IStageClient() = default;

    /// Sends a stage call.
    /// \param observer outlives the returned handle; it is never called from within this function
    /// \return handle of the call; destroying it cancels the call
    virtual std::unique_ptr<IStageCall> send(const framework::Endpoint &endpoint,
                                             const protocol::StageRequest &request,
                                             IStageCallObserver &observer) = 0;
};

} // namespace lavendertally::transport
