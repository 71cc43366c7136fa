#pragma once

#include "framework/types/ids.h"

#include <string>

namespace lavendertally::configuration {

/// Encoded record of the control stream, as stored by the log service.
struct ControlRecord
{
    framework::LogOffset offset;
    std::string data;

    bool operator==(const ControlRecord &) const = default;
};

} // namespace lavendertally::configuration
