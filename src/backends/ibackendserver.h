#pragma once

#include "admission/types/backendhealth.h"
#include "framework/result.h"
#include "framework/types/milliseconds.h"
#include "http/types/proberesult.h"

#include <functional>
#include <memory>
#include <optional>

namespace lavendertally::backends {

class IBackendCallHandle;
class IBackendObserver;
struct BackendCall;

/// Client of the backend server attached to this host process, whatever its service kind.
class IBackendServer
{
public:
    virtual ~IBackendServer() = default;

    /// Starts a call.
    /// \param observer must outlive the returned handle; never called from within this function
    /// \return handle that cancels the call when destroyed, or BackendError::NotRun if the payload
    /// is malformed or lacks an input the call needs
    virtual framework::Result<std::unique_ptr<IBackendCallHandle>>
    call(const BackendCall &call, IBackendObserver &observer) = 0;

    /// Queries the health of the backend server. A new check cancels one in flight, whose callback
    /// is then never called.
    /// \param callback receives the health, or nullopt if no valid response arrived within
    /// \p timeout
    virtual void
    checkHealth(framework::Milliseconds timeout,
                std::function<void(std::optional<admission::BackendHealth>)> callback) = 0;

    /// Finds out whether the process of the backend server accepts connections, without sending
    /// anything.
    /// \param callback called once, later, unless the returned handle is destroyed first
    virtual std::unique_ptr<IBackendCallHandle>
    probe(framework::Milliseconds timeout, std::function<void(http::ProbeResult)> callback) = 0;
};

} // namespace lavendertally::backends
