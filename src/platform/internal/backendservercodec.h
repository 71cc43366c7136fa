#pragma once

#include "framework/result.h"
#include "framework/types/endpoint.h"
#include "framework/types/timepoint.h"
#include "membership/types/backendserverentry.h"

#include <optional>
#include <string>
#include <string_view>

namespace lavendertally::platform {

/// \param id key of the entry
/// \param text the entry as the store holds it
/// \param now when it was read
/// \return the entry, or DecodeError with an ErrorContext
framework::Result<membership::BackendServerEntry>
decodeBackendServer(const std::string &id, std::string_view text, framework::TimePoint now);

/// \return IP:PORT as an endpoint, or nothing
std::optional<framework::Endpoint> parseEndpoint(std::string_view text);

} // namespace lavendertally::platform
