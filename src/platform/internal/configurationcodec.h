#pragma once

#include "framework/result.h"

#include <memory>
#include <string_view>

namespace lavendertally::serving {
class ServingConfiguration;
}

namespace lavendertally::platform {

/// \param text the operators' configuration as the store holds it
/// \return the configuration, or DecodeError with an ErrorContext
framework::Result<std::shared_ptr<const serving::ServingConfiguration>>
decodeConfiguration(std::string_view text);

} // namespace lavendertally::platform
