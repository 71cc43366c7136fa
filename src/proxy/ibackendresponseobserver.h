#pragma once

#include "proxy/types/backendcallend.h"

#include <string_view>

namespace lavendertally::proxy {

struct ResponseHead;
struct StreamEvent;

/// Receives a backend server's answer. Each function may destroy the call.
class IBackendResponseObserver
{
public:
    virtual ~IBackendResponseObserver() = default;

    virtual void onHead(const ResponseHead &head) = 0;
    /// A whole event of a stream.
    virtual void onEvent(const StreamEvent &event) = 0;
    /// Part of an answer that is no stream.
    virtual void onBody(std::string_view data) = 0;
    /// Called once, last.
    virtual void onEnd(BackendCallEnd end) = 0;
};

} // namespace lavendertally::proxy
