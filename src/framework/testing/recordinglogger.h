#pragma once

#include "framework/ilogger.h"

#include <map>
#include <string>
#include <vector>

namespace lavendertally::framework {

/// Logger that keeps every line.
class RecordingLogger final : public ILogger
{
public:
    struct Line
    {
        std::string event;
        std::map<std::string, std::string> fields;
    };

    void log(LogLevel /*level*/, std::string_view event,
             std::initializer_list<LogField> fields) override
    {
        Line &line = m_lines.emplace_back();
        line.event = event;
        for (const auto &[name, value] : fields) {
            line.fields.emplace(name, value);
        }
    }

    std::vector<Line> m_lines;
};

} // namespace lavendertally::framework
