#pragma once

#include <string>

namespace lavendertally::configuration {

/// One reason why a file is refused.
struct FileDiagnostic
{
    std::string file;
    /// Counted from one.
    int line = 1;
    /// Counted from one.
    int column = 1;
    /// Path of the key, such as `pipelines[0].stages[1].service`; empty for the file as a whole.
    std::string key;
    /// What should stand there.
    std::string expected;

    bool operator==(const FileDiagnostic &) const = default;

    /// \return `file:line:column: key: expected ...`
    std::string toString() const
    {
        const std::string place =
            file + ":" + std::to_string(line) + ":" + std::to_string(column) + ": ";
        return place + (key.empty() ? "" : key + ": ") + "expected " + expected;
    }
};

} // namespace lavendertally::configuration
