#pragma once

#include "configuration/internal/replicadata.h"
#include "framework/result.h"

#include <string>

namespace lavendertally::configuration {

/// \return the same text for equal data
std::string encodeSnapshot(const ReplicaData &data);

/// \return the data, or ConfigurationError::InvalidRecord with an ErrorContext
framework::Result<ReplicaData> decodeSnapshot(const std::string &text);

} // namespace lavendertally::configuration
