#pragma once

#include "http/types/httpend.h"
#include "http/types/httpresponsehead.h"

#include <string_view>

namespace lavendertally::http {

/// Receives a response as it arrives. Each function may destroy the call.
class IHttpResponseObserver
{
public:
    virtual ~IHttpResponseObserver() = default;

    /// Status and header fields.
    /// \return false if this response belongs to another request; it is dropped and the next one on
    /// the connection is read instead
    virtual bool onHead(const HttpResponseHead & /*head*/) { return true; }

    /// Part of the body, in order.
    /// \param status status code of the response
    virtual void onData(int status, std::string_view data) = 0;

    /// The whole response is here; called once before onEnd(), and must not destroy the call.
    /// \return whether it is known to be the response to this request. If not, the response to this
    /// request may still follow, so the connection is closed instead of being used again.
    virtual bool isOwnResponse() { return true; }

    /// The server has closed its sending side while the call was paused. What it had sent is handed
    /// on after IHttpCall::resumeReading().
    virtual void onServerClosing() { }

    /// The call ended; nothing follows.
    /// \param status status code, zero unless \p end is Complete
    virtual void onEnd(HttpEnd end, int status) = 0;
};

} // namespace lavendertally::http
