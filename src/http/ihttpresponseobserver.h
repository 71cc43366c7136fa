#pragma once

#include "http/types/httpend.h"
#include "http/types/httpheaders.h"

#include <string_view>

namespace lavendertally::http {

/// Receives a response as it arrives.
class IHttpResponseObserver
{
public:
    virtual ~IHttpResponseObserver() = default;

    /// Part of the body, in order.
    /// \param status status code of the response
    virtual void onData(int status, std::string_view data) = 0;

    /// Header fields of a complete response, before onEnd(). Must not destroy the call.
    virtual void onHeaders(const HttpHeaders & /*headers*/) { }

    /// The call ended; nothing follows.
    /// \param status status code, zero unless \p end is Complete
    virtual void onEnd(HttpEnd end, int status) = 0;
};

} // namespace lavendertally::http
