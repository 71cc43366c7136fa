#pragma once

namespace lavendertally::proxy {

/// A call to a backend server that is in flight. Destroying it cancels the call; its observer is
/// not called any more.
class IBackendCall
{
public:
    virtual ~IBackendCall() = default;
};

} // namespace lavendertally::proxy
