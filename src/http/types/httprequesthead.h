#pragma once

#include "http/types/httpheaders.h"

#include <string>

namespace lavendertally::http {

/// Request line and header fields as the client sent them.
struct HttpRequestHead
{
    std::string method;
    /// Path and query, not decoded.
    std::string target;
    HttpHeaders headers;
};

} // namespace lavendertally::http
