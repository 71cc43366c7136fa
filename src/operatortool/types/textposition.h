#pragma once

namespace lavendertally::operatortool {

/// Position in a file; line and column are 1-based, columns count characters.
struct TextPosition
{
    int line = 1;
    int column = 1;

    bool operator==(const TextPosition &) const = default;
};

} // namespace lavendertally::operatortool
