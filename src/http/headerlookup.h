#pragma once

#include "http/types/httpheaders.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace lavendertally::http {

/// \return whether two names of header fields are the same; case does not count
bool sameHeaderName(std::string_view left, std::string_view right);

/// \return value of the first field named \p name, valid as long as \p headers
std::optional<std::string_view> findHeader(const HttpHeaders &headers, std::string_view name);

/// \return number of fields named \p name
std::size_t countHeaders(const HttpHeaders &headers, std::string_view name);

} // namespace lavendertally::http
