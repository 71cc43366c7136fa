#pragma once

#include "framework/types/ids.h"

#include <map>
#include <optional>
#include <string>

namespace lavendertally::configuration {

/// New contents of configuration files, applied together or not at all.
struct ApplyFiles
{
    /// Revision that the operator's tool saw; a file that changed since then is a conflict.
    framework::LogOffset base;
    /// Text by file name; no text removes the file.
    std::map<std::string, std::optional<std::string>> files;

    bool operator==(const ApplyFiles &) const = default;
};

} // namespace lavendertally::configuration
