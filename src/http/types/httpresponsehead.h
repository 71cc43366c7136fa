#pragma once

#include "http/types/httpheaders.h"

namespace lavendertally::http {

/// Status and header fields of a response.
struct HttpResponseHead
{
    int status = 0;
    HttpHeaders headers;
    /// Whether the end of the body is marked by a length or by chunks; otherwise it ends with the
    /// connection.
    bool framed = true;
};

} // namespace lavendertally::http
