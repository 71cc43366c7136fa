#pragma once

#include "configuration/types/configuration.h"
#include "framework/result.h"

#include <map>
#include <string>

namespace lavendertally::configuration {

/// Reads operators' configuration files.
class IConfigurationParser
{
public:
    virtual ~IConfigurationParser() = default;

    /// Reads files that together make up the whole configuration.
    /// \param files text by file name
    /// \return the configuration, or ConfigurationError::InvalidFile with FileDiagnostics
    virtual framework::Result<Configuration>
    parse(const std::map<std::string, std::string> &files) const = 0;

    /// Checks each file for itself. Names that another file may declare are not looked up.
    /// \param files text by file name
    /// \return nothing, or ConfigurationError::InvalidFile with FileDiagnostics
    virtual framework::Result<void>
    checkEachFile(const std::map<std::string, std::string> &files) const = 0;
};

} // namespace lavendertally::configuration
