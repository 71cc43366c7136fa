#pragma once

#include "framework/result.h"
#include "proxy/types/clientrequest.h"

#include <string>

namespace lavendertally::http {
struct HttpRequestHead;
}

namespace lavendertally::platform {

/// \return the request, or DecodeError with an ErrorContext
framework::Result<proxy::ClientRequest> decodeClientRequest(const http::HttpRequestHead &head,
                                                            std::string body);

} // namespace lavendertally::platform
