#pragma once

#include "framework/types/ids.h"

#include <string>

namespace lavendertally::configuration {

/// Configuration file that is part of the current state.
struct StoredFile
{
    std::string text;
    /// Offset of the record that set the text.
    framework::LogOffset changedAt;

    bool operator==(const StoredFile &) const = default;
};

} // namespace lavendertally::configuration
