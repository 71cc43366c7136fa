#pragma once

#include "configuration/internal/fileposition.h"

#include <string>

namespace lavendertally::configuration {

/// Value with the position and key path of its declaration.
template <typename T>
struct Located
{
    T value;
    FilePosition position;
    /// Path of the key, such as `teams[0].name`.
    std::string key;
};

} // namespace lavendertally::configuration
