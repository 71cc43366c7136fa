#pragma once

#include "framework/types/ids.h"

#include <string>

namespace lavendertally::infrastructure {

struct LogRecord
{
    framework::LogOffset offset;
    std::string data;

    bool operator==(const LogRecord &) const = default;
};

} // namespace lavendertally::infrastructure
