#pragma once

#include "admission/types/backendhealth.h"
#include "framework/result.h"
#include "framework/types/milliseconds.h"

#include <functional>
#include <memory>

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
    /// \param observer outlives the returned handle
    virtual std::unique_ptr<IBackendCallHandle> call(const BackendCall &call,
                                                     IBackendObserver &observer) = 0;

    /// Asks the backend server for its state.
    /// \param callback gets the state, or BackendError
    virtual void
    checkHealth(framework::Milliseconds timeout,
                std::function<void(framework::Result<admission::BackendHealth>)> callback) = 0;
};

} // namespace lavendertally::backends
