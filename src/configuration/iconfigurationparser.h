#pragma once

#include "configuration/types/configuration.h"
#include "framework/result.h"

#include <map>
#include <string>

namespace lavendertally::configuration {

/// Parses and validates the configuration files that operators write.
class IConfigurationParser
{
public:
    virtual ~IConfigurationParser() = default;

    /// Parses the files that together make up the whole configuration, including references
    /// from one file to another.
    /// \param files text by file name
    /// \return the configuration, or ConfigurationError::InvalidFile with FileDiagnostics
    virtual framework::Result<Configuration>
    parse(const std::map<std::string, std::string> &files) const = 0;

    /// Validates each file on its own. References to names that another file may declare are not
    /// resolved.
    /// \param files text by file name
    /// \return nothing, or ConfigurationError::InvalidFile with FileDiagnostics
    virtual framework::Result<void>
    checkEachFile(const std::map<std::string, std::string> &files) const = 0;
};

} // namespace lavendertally::configuration
