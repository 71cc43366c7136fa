#pragma once

#include "infrastructure/types/infrastructureerror.h"

#include <optional>

namespace lavendertally::http {
struct HttpResponse;
}

namespace lavendertally::infrastructure {

/// \return why a read failed; nothing if it was answered with 200
std::optional<InfrastructureError> readError(const http::HttpResponse &response);

/// \return why a call with an effect failed; nothing if it was answered with 200
std::optional<InfrastructureError> effectError(const http::HttpResponse &response);

} // namespace lavendertally::infrastructure
