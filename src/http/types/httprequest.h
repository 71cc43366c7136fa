#pragma once

#include "framework/types/endpoint.h"
#include "framework/types/milliseconds.h"
#include "framework/types/units.h"
#include "http/types/httpheaders.h"
#include "http/types/httpmethod.h"

#include <functional>
#include <limits>
#include <string>

namespace lavendertally::http {

struct HttpResponse;

/// Request of a client.
struct HttpRequest
{
    framework::Endpoint endpoint;
    HttpMethod method = HttpMethod::Get;
    /// Name of a method that is HttpMethod::Other.
    std::string methodName;
    /// Path and query.
    std::string target;
    /// A Host field is added unless one is here.
    HttpHeaders headers;
    std::string body;
    /// Longest time for the whole call.
    framework::Milliseconds timeout;
    /// Size from which the response to IHttpClient::fetch() counts as broken; it may never end.
    framework::Bytes maxResponseBody{16 * 1024 * 1024};
    /// Connections that were idle for longer are not reused for this call. A server may have closed
    /// them already, and then nobody knows whether it acted.
    framework::Milliseconds maxIdleBefore{std::numeric_limits<std::int64_t>::max()};
    /// Time for which a new connection is watched for a reset before the request is written. A
    /// server over its limit of connections accepts and resets; what was written by then may have
    /// run for all that the client knows.
    framework::Milliseconds acceptanceWait{0};
    /// For IHttpClient::fetch(): tells whether a complete response is known to be the one to this
    /// request; if not, its connection is not used again. Called once, before the callback. Null if
    /// every response is taken for it.
    std::function<bool(const HttpResponse &)> isOwnResponse;
};

} // namespace lavendertally::http
