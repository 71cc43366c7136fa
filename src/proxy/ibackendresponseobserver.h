#pragma once

#include "proxy/types/backendcallend.h"

#include <string_view>

namespace lavendertally::proxy {

struct ResponseHead;
struct StreamEvent;

/// Receives the response of a backend server. Called on the event loop. An implementation may
/// destroy the IBackendCall in any of these functions; the caller must not touch the call
/// afterwards.
class IBackendResponseObserver
{
public:
    virtual ~IBackendResponseObserver() = default;

    /// Status and headers have arrived; called before onEvent() and onBody().
    virtual void onHead(const ResponseHead &head) = 0;
    /// A complete event of a streamed response has arrived.
    virtual void onEvent(const StreamEvent &event) = 0;
    /// A part of the body of a response that is not streamed has arrived.
    virtual void onBody(std::string_view data) = 0;
    /// The backend server has closed its side of the connection while reading was paused. What it
    /// had sent is handed on after IBackendCall::resumeReading().
    virtual void onServerClosing() { }
    /// The call has ended. Called once, after all other functions.
    virtual void onEnd(BackendCallEnd end) = 0;
};

} // namespace lavendertally::proxy
