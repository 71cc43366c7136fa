#pragma once

#include "configurationcheck/types/entrypath.h"

#include <string>

namespace lavendertally::configurationcheck {

/// Names entries as the file format does in which the configuration was written.
class IEntryNames
{
public:
    virtual ~IEntryNames() = default;

    /// \return the path in the words of the format, such as `routes[3].stages[1].service`
    virtual std::string pathOf(const EntryPath &path) const = 0;
};

} // namespace lavendertally::configurationcheck
