#pragma once

#include "configuration/types/filediagnostic.h"

#include <vector>

namespace lavendertally::configuration {

/// All errors found in files; error payload that goes with ConfigurationError::InvalidFile.
struct FileDiagnostics
{
    std::vector<FileDiagnostic> entries;
};

} // namespace lavendertally::configuration
