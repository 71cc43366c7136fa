#pragma once

#include <functional>
#include <optional>
#include <string>

namespace lavendertally::configuration {

/// How the text of a scalar turns into a typed value.
template <typename T>
struct ScalarType
{
    /// Describes valid text, for diagnostics.
    std::string expected;
    std::function<std::optional<T>(const std::string &)> parse;
};

} // namespace lavendertally::configuration
