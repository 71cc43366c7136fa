#pragma once

#include "framework/types/endpoint.h"
#include "framework/types/milliseconds.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lavendertally::configuration {

/// \return whether \p text is a valid name of an availability zone, service, file and so on: 1 to
/// 64 letters, digits, `.`, `-` and `_`, not starting with `.` or `-`
bool isValidName(const std::string &text);

/// \param text decimal number with unit ms, s, m or h, such as `500ms`
/// \return the duration rounded to milliseconds, or nothing when \p text is malformed, is shorter
/// than 1ms or longer than 720h
std::optional<framework::Milliseconds> parseDuration(const std::string &text);

/// \param text IPv4 address and port, such as `127.0.0.1:8080`
/// \param minimumPort zero for an endpoint to listen on, where the kernel may choose the port; one
/// for an endpoint to connect to
/// \return the endpoint, or nothing when \p text is malformed
std::optional<framework::Endpoint> parseEndpoint(const std::string &text,
                                                 std::uint16_t minimumPort);

} // namespace lavendertally::configuration
