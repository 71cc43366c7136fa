#pragma once

#include <string>
#include <utility>
#include <vector>

namespace lavendertally::http {

/// Header fields in the order in which they are sent.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

} // namespace lavendertally::http
