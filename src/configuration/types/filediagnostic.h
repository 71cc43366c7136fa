#pragma once

#include <string>

namespace lavendertally::configuration {

/// One error in a configuration or settings file.
struct FileDiagnostic
{
    std::string file;
    /// 1-based.
    int line = 1;
    /// 1-based.
    int column = 1;
    /// Path of the key, such as `pipelines[0].stages[1].service`; empty for the file as a whole.
    std::string key;
    /// What was expected at this position.
    std::string expected;

    bool operator==(const FileDiagnostic &) const = default;

    /// \return `file:line:column: key: expected ...`
    std::string toString() const
    {
        const std::string location =
            file + ":" + std::to_string(line) + ":" + std::to_string(column) + ": ";
        return location + (key.empty() ? "" : key + ": ") + "expected " + expected;
    }
};

} // namespace lavendertally::configuration
