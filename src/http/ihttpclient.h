#pragma once

#include "framework/types/milliseconds.h"
#include "http/types/httpresponse.h"
#include "http/types/proberesult.h"

#include <functional>
#include <memory>

namespace lavendertally::framework {
struct Endpoint;
}

namespace lavendertally::http {

class IHttpCall;
class IHttpResponseObserver;
struct HttpRequest;

/// HTTP client that keeps connections for reuse. A call is never sent twice.
class IHttpClient
{
public:
    virtual ~IHttpClient() = default;

    /// Sends a request and hands its response on as it arrives.
    /// \param observer outlives the returned handle; never called from within this function
    virtual std::unique_ptr<IHttpCall> send(const HttpRequest &request,
                                            IHttpResponseObserver &observer) = 0;

    /// Sends a request and reads its response as a whole.
    /// \param callback called once, later, unless the handle is destroyed first
    virtual std::unique_ptr<IHttpCall> fetch(const HttpRequest &request,
                                             std::function<void(HttpResponse)> callback) = 0;

    /// Finds out whether a server accepts connections, without sending anything.
    /// \param timeout time after which the server counts as silent
    /// \param callback called once, later, unless the handle is destroyed first
    virtual std::unique_ptr<IHttpCall> probe(const framework::Endpoint &endpoint,
                                             framework::Milliseconds timeout,
                                             std::function<void(ProbeResult)> callback) = 0;
};

} // namespace lavendertally::http
