#include "http/internal/serverexchange.h"

#include "http/headerlookup.h"
#include "http/internal/httpstatus.h"
#include "http/internal/requestholding.h"
#include "http/internal/serverconnection.h"

#include <boost/beast/http/status.hpp>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace lavendertally::http {

namespace {

void appendField(std::string &text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

/// What may wait for a client to read it before the sender is told to wait.
constexpr std::size_t MaxUnsentBytes = 64 * 1024;

bool hasNoBody(int status)
{
    return status == HttpStatus::NoContent || status == HttpStatus::NotModified;
}

} // namespace

ServerExchange::ServerExchange(ServerConnection &connection, HttpRequestHead head, std::string body,
                               std::unique_ptr<RequestHolding> holding, bool chunks,
                               std::shared_ptr<std::size_t> unfinished)
    : m_connection(&connection), m_head(std::move(head)), m_body(std::move(body)),
      m_holding(std::move(holding)), m_chunks(chunks), m_unfinished(std::move(unfinished))
{
    ++*m_unfinished;
    readTarget();
}

ServerExchange::~ServerExchange()
{
    countFinished();
}

void ServerExchange::readTarget()
{
    const std::size_t mark = m_head.target.find('?');
    const std::string path = m_head.target.substr(0, mark);
    if (mark != std::string::npos) {
        m_query = m_head.target.substr(mark + 1);
    }
    char *decoded = evhttp_uridecode(path.c_str(), 0, nullptr);
    m_path = decoded != nullptr ? decoded : path;
    free(decoded);
}

HttpMethod ServerExchange::method() const
{
    if (m_head.method == "GET") {
        return HttpMethod::Get;
    }
    if (m_head.method == "POST") {
        return HttpMethod::Post;
    }
    return m_head.method == "DELETE" ? HttpMethod::Delete : HttpMethod::Other;
}

std::optional<std::string> ServerExchange::query(const std::string &name) const
{
    evkeyvalq parameters{};
    if (evhttp_parse_query_str(m_query.c_str(), &parameters) != 0) {
        return std::nullopt;
    }
    std::optional<std::string> result;
    if (const char *value = evhttp_find_header(&parameters, name.c_str())) {
        result = value;
    }
    evhttp_clear_headers(&parameters);
    return result;
}

std::optional<std::string> ServerExchange::header(const std::string &name) const
{
    if (const auto value = findHeader(m_head.headers, name)) {
        return std::string(*value);
    }
    return std::nullopt;
}

std::string ServerExchange::takeBody()
{
    return std::exchange(m_body, {});
}

std::string ServerExchange::responseHead(int status, const std::string &contentType,
                                         const HttpHeaders &headers) const
{
    const auto reason = boost::beast::http::obsolete_reason(
        static_cast<boost::beast::http::status>(static_cast<unsigned>(status)));
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ';
    text.append(reason.data(), reason.size()).append("\r\n");
    if (!contentType.empty()) {
        appendField(text, "Content-Type", contentType);
    }
    for (const auto &[name, value] : headers) {
        appendField(text, name, value);
    }
    if (m_connection->closesAfterResponse()) {
        m_connection->closeAfterResponse();
        appendField(text, "Connection", "close");
    }
    return text;
}

void ServerExchange::reply(int status, const std::string &contentType, std::string_view body,
                           const HttpHeaders &headers)
{
    if (m_progress != Progress::Open) {
        return;
    }
    m_progress = Progress::Ended;
    if (m_connection == nullptr) {
        countFinished();
        return;
    }
    std::string text = responseHead(status, contentType, headers);
    if (!hasNoBody(status)) {
        appendField(text, "Content-Length", std::to_string(body.size()));
    }
    text.append("\r\n");
    if (!hasNoBody(status) && m_head.method != "HEAD") {
        text.append(body);
    }
    m_connection->write(text);
    std::exchange(m_connection, nullptr)->responseEnded();
}

void ServerExchange::startStream(int status, const std::string &contentType,
                                 const HttpHeaders &headers)
{
    if (m_progress != Progress::Open) {
        return;
    }
    m_progress = Progress::Streaming;
    if (m_connection == nullptr) {
        return;
    }
    const bool hasLength = findHeader(headers, "Content-Length").has_value();
    m_chunked = !hasLength && m_chunks;
    if (!hasLength && !m_chunked) {
        m_connection->endResponseWithClose();
    }
    std::string text = responseHead(status, contentType, headers);
    if (m_chunked) {
        appendField(text, "Transfer-Encoding", "chunked");
    }
    text.append("\r\n");
    m_connection->write(text);
}

void ServerExchange::sendPart(std::string_view data)
{
    if (m_progress != Progress::Streaming || m_connection == nullptr || data.empty()) {
        return;
    }
    if (!m_chunked) {
        m_connection->write(data);
        return;
    }
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    std::string chunk(size.data());
    chunk.append(data).append("\r\n");
    m_connection->write(chunk);
}

void ServerExchange::endStream()
{
    if (m_progress != Progress::Streaming) {
        return;
    }
    m_progress = Progress::Ended;
    if (m_connection == nullptr) {
        countFinished();
        return;
    }
    if (m_chunked) {
        m_connection->write("0\r\n\r\n");
    }
    std::exchange(m_connection, nullptr)->responseEnded();
}

bool ServerExchange::isBehind() const
{
    return m_connection != nullptr && m_connection->unsent() >= MaxUnsentBytes;
}

void ServerExchange::onCaughtUp(std::function<void()> callback)
{
    m_caughtUp = std::move(callback);
}

void ServerExchange::flushed()
{
    if (m_progress != Progress::Streaming || !m_caughtUp) {
        return;
    }
    // The function may end the response and be replaced.
    const std::function<void()> caughtUp = m_caughtUp;
    caughtUp();
}

void ServerExchange::abort()
{
    if (m_progress == Progress::Ended) {
        return;
    }
    m_progress = Progress::Ended;
    m_hangUp = nullptr;
    countFinished();
    if (m_connection != nullptr) {
        std::exchange(m_connection, nullptr)->close();
    }
}

void ServerExchange::onHangUp(std::function<void()> callback)
{
    m_hangUp = std::move(callback);
}

void ServerExchange::detach()
{
    m_connection = nullptr;
    if (m_progress == Progress::Ended) {
        countFinished();
        return;
    }
    if (const auto hangUp = std::exchange(m_hangUp, nullptr)) {
        hangUp();
    }
}

void ServerExchange::countFinished()
{
    if (m_unfinished) {
        --*m_unfinished;
        m_unfinished.reset();
    }
}

} // namespace lavendertally::http
