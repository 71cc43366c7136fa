#pragma once

#include "framework/types/ids.h"

#include <string>

namespace lavendertally::platform {

struct LogRecord
{
    framework::LogOffset offset;
    std::string data;

    bool operator==(const LogRecord &) const = default;
};

} // namespace lavendertally::platform
