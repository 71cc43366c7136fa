#pragma once

#include "configuration/internal/fileposition.h"

#include <yaml-cpp/mark.h>

namespace lavendertally::configuration {

/// Converts a 0-based yaml-cpp mark to a 1-based file position.
inline FilePosition toPosition(const YAML::Mark &mark)
{
    return mark.is_null() ? FilePosition{} : FilePosition{mark.line + 1, mark.column + 1};
}

} // namespace lavendertally::configuration
