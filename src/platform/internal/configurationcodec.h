#pragma once

#include "framework/result.h"
#include "framework/types/ids.h"

#include <memory>
#include <optional>
#include <string_view>

namespace lavendertally::serving {
class ServingConfiguration;
}

namespace lavendertally::platform {

/// \param text the operators' configuration as the store holds it
/// \return the configuration, or DecodeError with an ErrorContext
framework::Result<std::shared_ptr<const serving::ServingConfiguration>>
decodeConfiguration(std::string_view text);

/// \param text a configuration that cannot be used as a whole
/// \return its version, or nothing if it names none
std::optional<framework::ConfigurationVersion> decodeConfigurationVersion(std::string_view text);

} // namespace lavendertally::platform
