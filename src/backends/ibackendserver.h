#pragma once

#include "admission/types/backendhealth.h"
#include "framework/result.h"
#include "framework/types/milliseconds.h"

#include <functional>
#include <memory>
#include <optional>

namespace lavendertally::backends {

class IBackendCallHandle;
class IBackendObserver;
struct BackendCall;

/// The backend server beside this host process, of any service kind.
class IBackendServer
{
public:
    virtual ~IBackendServer() = default;

    /// Starts a call.
    /// \param observer outlives the returned handle; never called from within this function
    /// \return handle, or BackendError::NotRun when the payload lacks what the call needs
    virtual framework::Result<std::unique_ptr<IBackendCallHandle>>
    call(const BackendCall &call, IBackendObserver &observer) = 0;

    /// Asks the backend server for its state. A second question replaces one under way.
    /// \param callback gets the state, or nothing when no readable answer came in time
    virtual void
    checkHealth(framework::Milliseconds timeout,
                std::function<void(std::optional<admission::BackendHealth>)> callback) = 0;
};

} // namespace lavendertally::backends
