#pragma once

#include "http/types/httpheaders.h"

#include <span>
#include <string_view>

namespace lavendertally::platform {

/// \param ownNames fields that are not passed on because this process sets or consumes them
/// \return the fields that are passed on from one connection to another: not those that concern
/// only one connection, nor those that `Connection` names, nor the length of the body
http::HttpHeaders passedOnHeaders(const http::HttpHeaders &headers,
                                  std::span<const std::string_view> ownNames);

} // namespace lavendertally::platform
