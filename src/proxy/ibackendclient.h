#pragma once

#include "http/types/proberesult.h"

#include <functional>
#include <memory>

namespace lavendertally::membership {
struct BackendServerEntry;
}

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

    /// Finds out whether the process of a backend server still runs, after an attempt was lost or
    /// its answer ended with the connection.
    /// \param callback called once, later, unless the handle is destroyed first
    virtual std::unique_ptr<IBackendCall>
    probe(const membership::BackendServerEntry &server,
          std::function<void(http::ProbeResult)> callback) = 0;
};

} // namespace lavendertally::proxy
