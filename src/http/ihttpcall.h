#pragma once

namespace lavendertally::http {

/// A call of a client under way. Destroying it cancels the call and silences its observer.
class IHttpCall
{
public:
    virtual ~IHttpCall() = default;
};

} // namespace lavendertally::http
