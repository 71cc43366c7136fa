#pragma once

#include "configuration/types/daemonsettings.h"
#include "framework/result.h"

#include <string>

namespace lavendertally::configuration {

/// Parses and validates the settings file of a daemon.
class ISettingsParser
{
public:
    virtual ~ISettingsParser() = default;

    /// \param file name of the file, used in diagnostics
    /// \param text contents of the file
    /// \return the settings, or ConfigurationError::InvalidFile with FileDiagnostics
    virtual framework::Result<DaemonSettings> parse(const std::string &file,
                                                    const std::string &text) const = 0;
};

} // namespace lavendertally::configuration
