#pragma once

#include "configuration/internal/fileposition.h"

#include <string>

namespace lavendertally::configuration {

/// Value with the place that declares it.
template <typename T>
struct Located
{
    T value;
    FilePosition position;
    /// Path of the key.
    std::string key;
};

} // namespace lavendertally::configuration
