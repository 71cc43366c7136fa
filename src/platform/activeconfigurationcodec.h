#pragma once

#include "framework/result.h"

#include <string>
#include <string_view>

namespace lavendertally::configurationcheck {
struct ComparedConfiguration;
}

namespace lavendertally::serving {
class ServingConfiguration;
}

namespace lavendertally::platform {

/// \return the configuration in force as JSON in the product's own words; API keys are hashes
std::string encodeActiveConfiguration(const serving::ServingConfiguration &configuration);

/// \param text what encodeActiveConfiguration() made
/// \return the configuration, or DecodeError with an ErrorContext
framework::Result<configurationcheck::ComparedConfiguration>
decodeActiveConfiguration(std::string_view text);

} // namespace lavendertally::platform
