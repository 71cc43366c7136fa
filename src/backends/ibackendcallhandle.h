#pragma once

namespace lavendertally::backends {

/// Handle of a call in flight. Destroying it cancels the call; its observer is not called again.
class IBackendCallHandle
{
public:
    virtual ~IBackendCallHandle() = default;
};

} // namespace lavendertally::backends
