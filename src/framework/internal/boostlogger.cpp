#include "framework/internal/boostlogger.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace lavendertally::framework {

namespace {

const char *levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "error";
}

std::string utcTimestamp()
{
    constexpr int MillisecondsPerSecond = 1000;
    const auto now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    const auto sinceEpoch =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    std::ostringstream stream;
    stream << std::put_time(&utc, "%Y-%m-%dT%H:%M:%S") << '.' << std::setw(3) << std::setfill('0')
           << sinceEpoch.count() % MillisecondsPerSecond << 'Z';
    return stream.str();
}

void installSink()
{
    static const bool installed = [] {
        boost::log::add_console_log(std::clog,
                                    boost::log::keywords::format = boost::log::expressions::stream
                                        << boost::log::expressions::smessage,
                                    boost::log::keywords::auto_flush = true);
        return true;
    }();
    static_cast<void>(installed);
}

boost::log::sources::severity_logger<LogLevel> &source()
{
    static boost::log::sources::severity_logger<LogLevel> logger;
    return logger;
}

} // namespace

BoostLogger::BoostLogger(std::string component, LogFormat format)
    : m_component(std::move(component)), m_format(format)
{
    installSink();
}

void BoostLogger::log(LogLevel level, std::string_view event,
                      std::initializer_list<LogField> fields)
{
    if (m_format == LogFormat::Json) {
        nlohmann::json line = {{"time", utcTimestamp()},
                               {"level", levelName(level)},
                               {"component", m_component},
                               {"event", event}};
        for (const auto &[name, value] : fields) {
            line[std::string(name)] = value;
        }
        // Field values can come from outside; bytes that are not UTF-8 must not stop the log.
        BOOST_LOG_SEV(source(), level)
            << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        return;
    }
    std::ostringstream line;
    line << utcTimestamp() << ' ' << levelName(level) << ' ' << m_component << ": " << event;
    for (const auto &[name, value] : fields) {
        line << ' ' << name << '=' << std::quoted(value);
    }
    BOOST_LOG_SEV(source(), level) << line.str();
}

} // namespace lavendertally::framework
