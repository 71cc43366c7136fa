#pragma once

#include "configuration/internal/configurationfragment.h"
#include "framework/result.h"

#include <memory>
#include <string>

namespace lavendertally::configuration {

/// Parses one configuration file and validates all that does not depend on other files.
/// \return the fragment, or ConfigurationError::InvalidFile with FileDiagnostics
framework::Result<std::shared_ptr<const ConfigurationFragment>>
parseFragment(const std::string &file, const std::string &text);

} // namespace lavendertally::configuration
