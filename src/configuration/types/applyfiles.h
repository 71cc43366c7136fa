#pragma once

#include "framework/types/ids.h"

#include <map>
#include <optional>
#include <string>

namespace lavendertally::configuration {

/// Change of configuration files; all of its files are applied atomically.
struct ApplyFiles
{
    /// Revision on which the change is based. It is rejected when one of its files has changed
    /// since (optimistic concurrency control).
    framework::LogOffset base;
    /// New contents by file name; a file without contents is removed.
    std::map<std::string, std::optional<std::string>> files;

    bool operator==(const ApplyFiles &) const = default;
};

} // namespace lavendertally::configuration
