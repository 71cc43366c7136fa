#pragma once

#include "configuration/internal/replicadata.h"
#include "framework/result.h"

#include <string>

namespace lavendertally::configuration {

/// \return the snapshot as JSON; equal data gives identical text
std::string encodeSnapshot(const ReplicaData &data);

/// \return the data, or ConfigurationError::InvalidRecord with an ErrorContext
framework::Result<ReplicaData> decodeSnapshot(const std::string &text);

} // namespace lavendertally::configuration
