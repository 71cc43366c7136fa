#include "framework/internal/boostlogger.h"

#include "framework/internal/boundedlinewriter.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/frontend_requirements.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <ctime>
#include <iomanip>
#include <sstream>
#include <string>
#include <unistd.h>

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

/// Kept for a reader of standard output that is behind: about a thousand lines.
constexpr std::size_t MaxUnreadOutput = 256 * 1024;

/// Sink on standard output that drops lines instead of waiting.
class OutputBackend final : public boost::log::sinks::basic_formatted_sink_backend<
                                char, boost::log::sinks::synchronized_feeding>
{
public:
    void consume(const boost::log::record_view & /*record*/, const string_type &line)
    {
        m_writer.add(line);
    }

private:
    BoundedLineWriter m_writer{STDOUT_FILENO, MaxUnreadOutput};
};

void installSink()
{
    static const bool installed = [] {
        using Sink = boost::log::sinks::synchronous_sink<OutputBackend>;
        const auto sink = boost::make_shared<Sink>(boost::make_shared<OutputBackend>());
        sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
        boost::log::core::get()->add_sink(sink);
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
