#pragma once

#include "platform/types/platformerror.h"

#include <optional>

namespace lavendertally::http {
struct HttpResponse;
}

namespace lavendertally::platform {

/// \return why a read failed; nothing if it was answered with 200
std::optional<PlatformError> readError(const http::HttpResponse &response);

/// \return why a call with an effect failed; nothing if it was answered with 200
std::optional<PlatformError> effectError(const http::HttpResponse &response);

} // namespace lavendertally::platform
