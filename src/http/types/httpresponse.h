#pragma once

#include "http/types/httpend.h"
#include "http/types/httpheaders.h"

#include <string>

namespace lavendertally::http {

/// Response that is read as a whole.
struct HttpResponse
{
    HttpEnd end = HttpEnd::NotSent;
    /// Status code; zero unless the response is complete.
    int status = 0;
    /// Header fields of a complete response.
    HttpHeaders headers;
    std::string body;
};

} // namespace lavendertally::http
