#include "standins/logstandin.h"

#include "http/ihttpexchange.h"
#include "standins/internal/httpstatus.h"
#include "standins/internal/json.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace lavendertally::standins {

namespace {

constexpr std::string_view PathPrefix = "/v1/streams/";
constexpr std::string_view PathSuffix = "/records";
constexpr framework::Milliseconds OneSecond{1000};
constexpr std::uint64_t DefaultLimit = 1000;
constexpr std::uint64_t MaxLimit = 10000;
constexpr std::uint64_t MaxWaitMs = 60000;

/// \return the stream's name; nothing if the path is not one of the log service
std::optional<std::string> streamOf(std::string_view path)
{
    if (!path.starts_with(PathPrefix) || !path.ends_with(PathSuffix)
        || path.size() <= PathPrefix.size() + PathSuffix.size()) {
        return std::nullopt;
    }
    path.remove_prefix(PathPrefix.size());
    path.remove_suffix(PathSuffix.size());
    const bool valid =
        path.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789.-") == std::string_view::npos;
    return valid ? std::optional<std::string>(path) : std::nullopt;
}

std::uint64_t numberQuery(const http::IHttpExchange &exchange, const std::string &name,
                          std::uint64_t fallback)
{
    const std::string text = exchange.query(name).value_or("");
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = error == std::errc() && end == text.data() + text.size();
    return whole ? value : fallback;
}

bool areTexts(const nlohmann::json &rows)
{
    return rows.is_array() && !rows.empty()
        && std::all_of(rows.begin(), rows.end(), [](const auto &row) { return row.is_string(); });
}

/// Changes the order or number of the rows as the fault says.
void disturb(nlohmann::json &rows, FaultMode mode)
{
    if (mode == FaultMode::Reordered) {
        std::reverse(rows.begin(), rows.end());
    }
    if (mode == FaultMode::Doubled) {
        const nlohmann::json copy = rows;
        rows.insert(rows.end(), copy.begin(), copy.end());
    }
}

} // namespace

LogStandIn::LogStandIn(framework::IEventLoop &loop, const LogOptions &options)
    : StandInServer(loop), m_options(options)
{ }

LogStandIn::~LogStandIn() = default;

void LogStandIn::expireUpTo(const std::string &stream, framework::LogOffset first)
{
    Stream &kept = m_streams[stream];
    while (kept.first < first.value() && !kept.records.empty()) {
        kept.records.pop_front();
        ++kept.first;
    }
}

std::vector<std::string> LogStandIn::records(const std::string &stream) const
{
    std::vector<std::string> result;
    if (const auto found = m_streams.find(stream); found != m_streams.end()) {
        for (const Record &record : found->second.records) {
            result.push_back(record.data);
        }
    }
    return result;
}

void LogStandIn::handle(const ExchangePtr &exchange, FaultMode mode)
{
    const std::optional<std::string> name = streamOf(exchange->path());
    if (!name) {
        replyError(*exchange, HttpStatus::NotFound, "not_found");
        return;
    }
    if (exchange->method() == http::HttpMethod::Post) {
        append(exchange, *name);
        return;
    }
    read(exchange, *name, mode);
}

void LogStandIn::onFaultSet(const Fault &fault)
{
    if (fault.mode != FaultMode::Lagging) {
        return;
    }
    m_laggingEnds.clear();
    for (const auto &[name, stream] : m_streams) {
        m_laggingEnds[name] = stream.end();
    }
}

void LogStandIn::append(const ExchangePtr &exchange, const std::string &name)
{
    const auto body = readObject(*exchange);
    if (!body) {
        return;
    }
    const auto rows = body->find("records");
    if (rows == body->end() || !areTexts(*rows)) {
        replyError(*exchange, HttpStatus::BadRequest, "malformed");
        return;
    }
    if (!takeAppendAllowance()) {
        replyError(*exchange, HttpStatus::TooManyRequests, "too_many_appends");
        return;
    }
    Stream &stream = m_streams[name];
    const std::uint64_t first = stream.end();
    for (const auto &row : *rows) {
        stream.records.push_back({row.get<std::string>(), now()});
    }
    expire(stream);
    replyJson(*exchange, HttpStatus::Ok, {{"first", first}});
    wakeReaders(name);
}

bool LogStandIn::takeAppendAllowance()
{
    while (!m_recentAppends.empty() && now() - m_recentAppends.front() >= OneSecond) {
        m_recentAppends.pop_front();
    }
    if (m_recentAppends.size() >= m_options.appendsPerSecond) {
        return false;
    }
    m_recentAppends.push_back(now());
    return true;
}

void LogStandIn::read(const ExchangePtr &exchange, const std::string &name, FaultMode mode)
{
    Reader reader{exchange, name, numberQuery(*exchange, "from", 0),
                  std::min(numberQuery(*exchange, "limit", DefaultLimit), MaxLimit), mode};
    Stream &stream = m_streams[name];
    expire(stream);
    const framework::Milliseconds longest(
        std::min(numberQuery(*exchange, "wait_ms", 0), MaxWaitMs));
    const bool expired = reader.from < stream.first;
    const bool hasRecord = reader.from < visibleEnd(name, mode);
    if (expired || hasRecord || longest == framework::Milliseconds(0)) {
        replyPage(reader);
        return;
    }
    wait(reader, longest);
}

void LogStandIn::wait(const Reader &reader, framework::Milliseconds wait)
{
    const std::uint64_t id = m_nextReader++;
    m_readers[id] = reader;
    deferred().callAfter(wait, [this, id] {
        if (const auto node = m_readers.extract(id)) {
            replyPage(node.mapped());
        }
    });
}

void LogStandIn::wakeReaders(const std::string &stream)
{
    std::vector<std::uint64_t> due;
    for (const auto &[id, reader] : m_readers) {
        if (reader.stream == stream && reader.from < visibleEnd(stream, reader.mode)) {
            due.push_back(id);
        }
    }
    for (const std::uint64_t id : due) {
        replyPage(m_readers.extract(id).mapped());
    }
    if (m_options.lag > framework::Milliseconds(0) && !m_readers.empty()) {
        deferred().callAfter(m_options.lag, [this, stream] { wakeReaders(stream); });
    }
}

void LogStandIn::replyPage(const Reader &reader)
{
    const Stream &stream = m_streams[reader.stream];
    const std::uint64_t from = reader.from;
    if (from < stream.first) {
        replyJson(*reader.exchange, HttpStatus::Gone, {{"first", stream.first}});
        return;
    }
    const std::uint64_t end = visibleEnd(reader.stream, reader.mode);
    const std::uint64_t next = std::max(from, std::min(end, from + reader.limit));
    auto rows = nlohmann::json::array();
    for (std::uint64_t offset = from; offset < next; ++offset) {
        rows.push_back({{"offset", offset}, {"data", stream.records[offset - stream.first].data}});
    }
    disturb(rows, reader.mode);
    replyJson(*reader.exchange, HttpStatus::Ok,
              {{"first", stream.first},
               {"next", next},
               {"end", std::max(end, next)},
               {"records", std::move(rows)}});
}

void LogStandIn::expire(Stream &stream)
{
    const auto expired = [&] {
        const bool tooMany = stream.records.size() > m_options.retentionRecords;
        const bool tooOld = m_options.retentionTime > framework::Milliseconds(0)
            && now() - stream.records.front().appendedAt > m_options.retentionTime;
        return tooMany || tooOld;
    };
    while (!stream.records.empty() && expired()) {
        stream.records.pop_front();
        ++stream.first;
    }
}

std::uint64_t LogStandIn::visibleEnd(const std::string &name, FaultMode mode) const
{
    const auto found = m_streams.find(name);
    if (found == m_streams.end()) {
        return 0;
    }
    const Stream &stream = found->second;
    if (mode == FaultMode::Lagging) {
        const auto lagging = m_laggingEnds.find(name);
        const std::uint64_t end = lagging == m_laggingEnds.end() ? 0 : lagging->second;
        return std::max(end, stream.first);
    }
    if (m_options.lag == framework::Milliseconds(0)) {
        return stream.end();
    }
    const auto isVisible = [&](const Record &record) {
        return now() - record.appendedAt >= m_options.lag;
    };
    const auto begin = stream.records.begin();
    const auto visible = std::partition_point(begin, stream.records.end(), isVisible) - begin;
    return stream.first + visible;
}

} // namespace lavendertally::standins
