#pragma once

#include "backends/types/backenderror.h"

#include "framework/types/units.h"

#include <optional>
#include <string>

namespace lavendertally::backends {
struct BackendResult;
}

namespace lavendertally::host {

class HostCall;

/// Notified of the answers to calls of the backend server and of their ends. At most one of the
/// functions for the end is called, once; none if the call is destroyed before its end.
class ICallListener
{
public:
    virtual ~ICallListener() = default;

    /// The head of the answer has arrived.
    /// \param call must not be destroyed by the listener
    /// \param rateLimit requests per second that the backend server takes, if it names them
    virtual void onRateLimit(const HostCall &call,
                             std::optional<framework::RequestRate> rateLimit) = 0;

    /// The call succeeded.
    /// \param call may be destroyed by the listener
    /// \param result output of the backend server
    virtual void onCallDone(HostCall &call, const backends::BackendResult &result) = 0;

    /// The call failed or could not be started.
    /// \param call as for onCallDone()
    /// \param error whether the call may have run
    /// \param detail what failed, for people
    virtual void onCallFailed(HostCall &call, backends::BackendError error,
                              const std::string &detail) = 0;
};

} // namespace lavendertally::host
