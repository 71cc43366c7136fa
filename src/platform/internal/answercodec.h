#pragma once

#include "proxy/types/responsehead.h"

namespace lavendertally::http {
struct HttpResponseHead;
}

namespace lavendertally::platform {

/// \return whether a worker says that it leaves
bool saysItLeaves(const http::HttpHeaders &headers);

/// \return time for which a worker that answers 503 wants nothing more; nothing if it does not say
std::optional<framework::Milliseconds> decodeRetryAfter(int status,
                                                        const http::HttpHeaders &headers);

/// \return the rate limit that a worker names; nothing if it names none or one that makes no sense
std::optional<framework::RequestRate> decodeRateLimit(const http::HttpHeaders &headers);

/// \return what a backend server says with the head of its answer
proxy::ResponseHead decodeAnswerHead(const http::HttpResponseHead &head);

/// \return a load in the form RUNNING,WAITING,SLOTS or RUNNING,WAITING,SLOTS,TIME, where TIME is
/// how long work takes there in percent; nothing if one of the first three cannot be read
std::optional<routing::ServerLoad> decodeServerLoad(std::string_view text);

} // namespace lavendertally::platform
