#include "http/decimalfield.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace lavendertally::http {

std::optional<double> parseDecimal(std::string_view text)
{
    double number = 0.0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    const bool isNumber = parsed.ec == std::errc() && parsed.ptr == end && number >= 0.0;
    return isNumber ? std::optional(number) : std::nullopt;
}

std::optional<framework::RequestRate> parseRequestRate(std::string_view text)
{
    constexpr double MaxPerSecond = 1e6;
    constexpr double UnitsPerSecond = 1000.0;
    const auto perSecond = parseDecimal(text);
    if (!perSecond) {
        return std::nullopt;
    }
    return framework::RequestRate(
        std::llround(std::min(*perSecond, MaxPerSecond) * UnitsPerSecond));
}

} // namespace lavendertally::http
