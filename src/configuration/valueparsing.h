#pragma once

#include "framework/types/endpoint.h"
#include "framework/types/milliseconds.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lavendertally::configuration {

/// \return whether \p text can name a zone, a service, a file and the like
bool isValidName(const std::string &text);

/// \param text number with unit ms, s, m or h, such as `500ms`
/// \return the duration, or nothing when \p text is none or is zero
std::optional<framework::Milliseconds> parseDuration(const std::string &text);

/// \param text IPv4 address and port, such as `127.0.0.1:8080`
/// \param minimumPort zero where the kernel may choose, one where the endpoint is a peer's
/// \return the endpoint, or nothing when \p text is none
std::optional<framework::Endpoint> parseEndpoint(const std::string &text,
                                                 std::uint16_t minimumPort);

} // namespace lavendertally::configuration
