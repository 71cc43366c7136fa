#pragma once

namespace lavendertally::backends {

/// A call under way. Destroying it cancels the call and silences its callbacks.
class IBackendCallHandle
{
public:
    virtual ~IBackendCallHandle() = default;
};

} // namespace lavendertally::backends
