#pragma once

#include "http/types/httpheaders.h"
#include "http/types/httpmethod.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace lavendertally::http {

struct HttpRequestHead;

/// Server side of one request. Exactly one of reply() or startStream() ... endStream() is called.
class IHttpExchange
{
public:
    virtual ~IHttpExchange() = default;

    virtual HttpMethod method() const = 0;
    /// \return request line and header fields as they came
    virtual const HttpRequestHead &head() const = 0;
    /// \return decoded path without the query
    virtual const std::string &path() const = 0;
    /// \return value of a query parameter
    virtual std::optional<std::string> query(const std::string &name) const = 0;
    /// \return value of a header field
    virtual std::optional<std::string> header(const std::string &name) const = 0;
    virtual const std::string &body() const = 0;
    /// \return the body, which is empty afterwards
    virtual std::string takeBody() = 0;

    /// Sends the whole response.
    /// \param contentType empty if \p headers have it or there is none
    virtual void reply(int status, const std::string &contentType, std::string_view body,
                       const HttpHeaders &headers) = 0;

    void reply(int status, const std::string &contentType, std::string_view body)
    {
        reply(status, contentType, body, {});
    }

    /// Starts a response that is sent in parts.
    /// \param contentType empty if \p headers have it or there is none
    /// \param headers with a Content-Length the parts are sent as they are, otherwise as chunks
    virtual void startStream(int status, const std::string &contentType,
                             const HttpHeaders &headers) = 0;
    virtual void sendPart(std::string_view data) = 0;
    virtual void endStream() = 0;

    /// \return whether the client has not taken a bounded part of what was sent; whoever can wait
    /// sends no more until the function given to onCaughtUp() is called
    virtual bool isBehind() const = 0;
    /// Registers a function that is called each time the network has taken all that was sent of a
    /// response that goes on. It replaces the one registered before.
    virtual void onCaughtUp(std::function<void()> callback) = 0;

    /// Breaks the connection without ending the response, so that the client sees a cut: by a reset
    /// if the response has neither a length nor chunks.
    virtual void abort() = 0;

    /// Registers a function that is called once if the client hangs up before the response has
    /// ended.
    virtual void onHangUp(std::function<void()> callback) = 0;
};

} // namespace lavendertally::http
