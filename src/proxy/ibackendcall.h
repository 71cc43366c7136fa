#pragma once

namespace lavendertally::proxy {

/// A call to a backend server under way. Destroying it cancels the call and silences its observer.
class IBackendCall
{
public:
    virtual ~IBackendCall() = default;
};

} // namespace lavendertally::proxy
