#pragma once

#include <memory>

namespace lavendertally::proxy {

class IBackendResponseObserver;
class IBackendCall;
struct BackendRequest;

/// Sends requests to backend servers.
class IBackendClient
{
public:
    virtual ~IBackendClient() = default;

    /// \param observer outlives the returned handle; never called from within this function
    virtual std::unique_ptr<IBackendCall> send(const BackendRequest &request,
                                               IBackendResponseObserver &observer) = 0;
};

} // namespace lavendertally::proxy
