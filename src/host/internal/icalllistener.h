#pragma once

#include "backends/types/backenderror.h"

#include <string>

namespace lavendertally::backends {
struct BackendResult;
}

namespace lavendertally::host {

class HostCall;

/// Notified when a call to the backend server ends. At most one function is called, once; none if
/// the call is destroyed before its end.
class ICallListener
{
public:
    virtual ~ICallListener() = default;

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
