#pragma once

#include <string_view>

namespace lavendertally::proxy {

struct ResponseHead;
struct Refusal;

/// The client's side of a request. Ends with reply(), endStream(), abort() or refuse().
class IResponseWriter
{
public:
    virtual ~IResponseWriter() = default;

    /// Passes a whole answer on.
    virtual void reply(const ResponseHead &head, std::string_view body) = 0;

    virtual void startStream(const ResponseHead &head) = 0;
    /// \param text one whole event
    virtual void sendEvent(std::string_view text) = 0;
    virtual void endStream() = 0;

    /// Ends the connection so that the client sees an incomplete answer.
    virtual void abort() = 0;

    virtual void refuse(const Refusal &refusal) = 0;
};

} // namespace lavendertally::proxy
