#pragma once

#include "backends/types/backenderror.h"

#include <string>

namespace lavendertally::backends {
struct BackendResult;
}

namespace lavendertally::host {

class HostCall;

/// Hears how calls on the backend server end.
class ICallListener
{
public:
    virtual ~ICallListener() = default;

    /// \param call may be destroyed by the listener
    virtual void onCallDone(HostCall &call, const backends::BackendResult &result) = 0;
    virtual void onCallFailed(HostCall &call, backends::BackendError error,
                              const std::string &detail) = 0;
};

} // namespace lavendertally::host
