#pragma once

#include <string_view>

namespace lavendertally::proxy {

struct ResponseHead;
struct Refusal;

/// Writes the response to one client request: reply() or refuse(), or startStream() and sendEvent()
/// followed by endStream() or abort(). Nothing may be written after that.
class IResponseWriter
{
public:
    virtual ~IResponseWriter() = default;

    /// Sends a complete response.
    virtual void reply(const ResponseHead &head, std::string_view body) = 0;

    /// Begins a streamed response.
    virtual void startStream(const ResponseHead &head) = 0;
    /// \param text one complete event, with the empty line that ends it
    virtual void sendEvent(std::string_view text) = 0;
    /// Ends the stream as complete.
    virtual void endStream() = 0;

    /// Closes the connection so that the client sees that the response is incomplete.
    virtual void abort() = 0;

    /// Sends an error response of the gateway itself.
    virtual void refuse(const Refusal &refusal) = 0;
};

} // namespace lavendertally::proxy
