#pragma once

#include "proxy/types/responsehead.h"

namespace lavendertally::http {
struct HttpResponseHead;
}

namespace lavendertally::platform {

/// \return what a backend server says with the head of its answer
proxy::ResponseHead decodeAnswerHead(const http::HttpResponseHead &head);

/// \return a load in the form RUNNING,WAITING,SLOTS, or nothing
std::optional<routing::ServerLoad> decodeServerLoad(std::string_view text);

} // namespace lavendertally::platform
