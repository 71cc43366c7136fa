#pragma once

#include "framework/types/units.h"

#include <optional>
#include <string_view>

namespace lavendertally::http {

/// Reads a field value that is a decimal number.
/// \return the number, or nothing if the value is none or negative
std::optional<double> parseDecimal(std::string_view text);

/// Reads a field value that is a decimal number of requests per second.
/// \return the rate, at most a million per second; nothing if the value is no such number
std::optional<framework::RequestRate> parseRequestRate(std::string_view text);

} // namespace lavendertally::http
