#pragma once

#include "framework/types/endpoint.h"
#include "framework/types/milliseconds.h"
#include "http/types/httpheaders.h"
#include "http/types/httpmethod.h"

#include <string>

namespace lavendertally::http {

/// Request of a client.
struct HttpRequest
{
    framework::Endpoint endpoint;
    HttpMethod method = HttpMethod::Get;
    /// Path and query.
    std::string target;
    HttpHeaders headers;
    std::string body;
    /// Longest time for the whole call.
    framework::Milliseconds timeout;
};

} // namespace lavendertally::http
