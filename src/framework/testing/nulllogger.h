#pragma once

#include "framework/ilogger.h"

namespace lavendertally::framework {

/// Logger that drops every line.
class NullLogger final : public ILogger
{
public:
    void log(LogLevel /*level*/, std::string_view /*event*/,
             std::initializer_list<LogField> /*fields*/) override
    { }
};

} // namespace lavendertally::framework
