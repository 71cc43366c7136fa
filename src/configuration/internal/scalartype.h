#pragma once

#include <functional>
#include <optional>
#include <string>

namespace lavendertally::configuration {

/// Conversion of the text of a YAML scalar to a typed value.
template <typename T>
struct ScalarType
{
    /// Description of valid text for diagnostics.
    std::string expected;
    std::function<std::optional<T>(const std::string &)> parse;
};

} // namespace lavendertally::configuration
