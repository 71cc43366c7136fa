#pragma once

#include "configuration/types/filediagnostic.h"

#include <vector>

namespace lavendertally::configuration {

/// Why files are refused; travels beside ConfigurationError::InvalidFile.
struct FileDiagnostics
{
    std::vector<FileDiagnostic> entries;
};

} // namespace lavendertally::configuration
