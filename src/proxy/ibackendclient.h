#pragma once

#include <memory>

namespace lavendertally::proxy {

class IBackendResponseObserver;
class IBackendCall;
struct BackendRequest;

/// Sends requests to backend servers without blocking.
class IBackendClient
{
public:
    virtual ~IBackendClient() = default;

    /// \param observer must outlive the returned call; never called from within this function
    /// \return the call in flight; destroying it cancels the call
    virtual std::unique_ptr<IBackendCall> send(const BackendRequest &request,
                                               IBackendResponseObserver &observer) = 0;
};

} // namespace lavendertally::proxy
