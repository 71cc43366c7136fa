#pragma once

#include "configuration/types/configuration.h"
#include "framework/result.h"

#include <map>
#include <memory>
#include <string>

namespace lavendertally::configuration {

struct ConfigurationFragment;

/// Fragments of parsed files, keyed by file name.
using FragmentMap = std::map<std::string, std::shared_ptr<const ConfigurationFragment>>;

/// Merges fragments into one configuration and validates names and references across files.
/// \return the configuration, or ConfigurationError::InvalidFile with FileDiagnostics
framework::Result<Configuration> mergeFragments(const FragmentMap &fragments);

} // namespace lavendertally::configuration
