#pragma once

#include "framework/types/ids.h"

#include <string>

namespace lavendertally::configuration {

/// Record of the control stream as the log service holds it.
struct ControlRecord
{
    framework::LogOffset offset;
    std::string data;

    bool operator==(const ControlRecord &) const = default;
};

} // namespace lavendertally::configuration
