#pragma once

namespace lavendertally::configuration {

/// Position in a file; line and column are 1-based.
struct FilePosition
{
    int line = 1;
    int column = 1;
};

} // namespace lavendertally::configuration
