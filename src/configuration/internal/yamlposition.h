#pragma once

#include "configuration/internal/fileposition.h"

#include <yaml-cpp/mark.h>

namespace lavendertally::configuration {

/// Turns a mark of yaml-cpp, which counts from zero, into a place in a file.
inline FilePosition toPosition(const YAML::Mark &mark)
{
    return mark.is_null() ? FilePosition{} : FilePosition{mark.line + 1, mark.column + 1};
}

} // namespace lavendertally::configuration
