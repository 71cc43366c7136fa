#pragma once

namespace lavendertally::configuration {

/// Place in a file, counted from one.
struct FilePosition
{
    int line = 1;
    int column = 1;
};

} // namespace lavendertally::configuration
