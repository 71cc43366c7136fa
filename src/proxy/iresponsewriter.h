#pragma once

#include <functional>
#include <string_view>

namespace lavendertally::proxy {

struct ResponseHead;
struct Refusal;

/// Writes the response to one client request: reply() or refuse(), or startStream() and sendPart()
/// followed by endStream() or abort(). Nothing may be written after that.
class IResponseWriter
{
public:
    virtual ~IResponseWriter() = default;

    /// Sends a complete response.
    virtual void reply(const ResponseHead &head, std::string_view body) = 0;

    /// Begins a response that is sent in parts.
    virtual void startStream(const ResponseHead &head) = 0;
    /// \param text complete events, or the next part of a body that is no stream of events
    virtual void sendPart(std::string_view text) = 0;
    /// \return whether the client has not taken a bounded part of the stream yet; no more should
    /// be sent until the function given to onCaughtUp() is called
    virtual bool isBehind() const = 0;
    /// \param callback called each time the client has been sent all of a stream that goes on
    virtual void onCaughtUp(std::function<void()> callback) = 0;
    /// Ends the stream as complete.
    virtual void endStream() = 0;

    /// Closes the connection so that the client sees that the response is incomplete.
    virtual void abort() = 0;

    /// Sends an error response of the gateway itself.
    virtual void refuse(const Refusal &refusal) = 0;
};

} // namespace lavendertally::proxy
