#pragma once

#include "framework/ilogger.h"
#include "framework/types/logformat.h"

namespace lavendertally::framework {

/// Logger on Boost.Log that writes to standard error.
class BoostLogger final : public ILogger
{
public:
    BoostLogger(std::string component, LogFormat format);

    void log(LogLevel level, std::string_view event,
             std::initializer_list<LogField> fields) override;

private:
    std::string m_component;
    LogFormat m_format;
};

} // namespace lavendertally::framework
