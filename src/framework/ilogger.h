#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace lavendertally::framework {

enum class LogLevel
{
    Debug,
    Info,
    Warning,
    Error,
};

/// One named value of a log line.
using LogField = std::pair<std::string_view, std::string>;

/// Writes structured log lines: one event a line, ids as fields.
class ILogger
{
public:
    virtual ~ILogger() = default;

    /// \param event what happened and what happens next, in plain words without values
    /// \param fields ids and values
    virtual void log(LogLevel level, std::string_view event,
                     std::initializer_list<LogField> fields) = 0;

    void info(std::string_view event, std::initializer_list<LogField> fields = {})
    {
        log(LogLevel::Info, event, fields);
    }
    void warning(std::string_view event, std::initializer_list<LogField> fields = {})
    {
        log(LogLevel::Warning, event, fields);
    }
    void error(std::string_view event, std::initializer_list<LogField> fields = {})
    {
        log(LogLevel::Error, event, fields);
    }
};

} // namespace lavendertally::framework
