#pragma once

#include <memory>

namespace lavendertally::proxy {

class IBackendAnswerObserver;
class IBackendCall;
struct BackendRequest;

/// Sends requests to backend servers.
class IBackendPort
{
public:
    virtual ~IBackendPort() = default;

    /// \param observer outlives the returned handle; never called from within this function
    virtual std::unique_ptr<IBackendCall> send(const BackendRequest &request,
                                               IBackendAnswerObserver &observer) = 0;
};

} // namespace lavendertally::proxy
