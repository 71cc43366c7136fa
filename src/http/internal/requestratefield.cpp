#include "http/requestratefield.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace lavendertally::http {

std::optional<framework::RequestRate> parseRequestRate(std::string_view text)
{
    constexpr double MaxPerSecond = 1e6;
    constexpr double UnitsPerSecond = 1000.0;
    double perSecond = 0.0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, perSecond);
    const bool isNumber = parsed.ec == std::errc() && parsed.ptr == end && perSecond >= 0.0;
    if (!isNumber) {
        return std::nullopt;
    }
    return framework::RequestRate(std::llround(std::min(perSecond, MaxPerSecond) * UnitsPerSecond));
}

} // namespace lavendertally::http
