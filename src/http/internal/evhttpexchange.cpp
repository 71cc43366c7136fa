#include "http/internal/evhttpexchange.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lavendertally::http {

namespace {

/// Lowers a count once, when a response has been written or its connection is gone.
struct FlushWatch
{
    std::shared_ptr<std::size_t> unfinished;

    static void written(evhttp_request *request, void *self)
    {
        evhttp_connection_set_closecb(evhttp_request_get_connection(request), nullptr, nullptr);
        finish(self);
    }

    static void closed(evhttp_connection * /*connection*/, void *self) { finish(self); }

    static void finish(void *self)
    {
        const std::unique_ptr<FlushWatch> watch(static_cast<FlushWatch *>(self));
        --*watch->unfinished;
    }
};

} // namespace

std::shared_ptr<EvHttpExchange> EvHttpExchange::create(event_base *base, evhttp_request *request,
                                                       std::shared_ptr<std::size_t> unfinished)
{
    std::shared_ptr<EvHttpExchange> exchange(
        new EvHttpExchange(base, request, std::move(unfinished)));
    exchange->m_self = exchange;
    return exchange;
}

EvHttpExchange::EvHttpExchange(event_base *base, evhttp_request *request,
                               std::shared_ptr<std::size_t> unfinished)
    : m_request(request), m_connection(evhttp_request_get_connection(request)),
      m_unfinished(std::move(unfinished))
{
    ++*m_unfinished;
    readRequest();
    watchConnection(base);
}

EvHttpExchange::~EvHttpExchange()
{
    if (m_closeEvent != nullptr) {
        event_free(m_closeEvent);
    }
}

void EvHttpExchange::readRequest()
{
    m_method = evhttp_request_get_command(m_request) == EVHTTP_REQ_POST ? HttpMethod::Post
                                                                        : HttpMethod::Get;
    const evhttp_uri *uri = evhttp_request_get_evhttp_uri(m_request);
    if (const char *path = evhttp_uri_get_path(uri)) {
        char *decoded = evhttp_uridecode(path, 0, nullptr);
        m_path = decoded != nullptr ? decoded : path;
        free(decoded);
    }
    if (const char *query = evhttp_uri_get_query(uri)) {
        m_query = query;
    }
    evbuffer *input = evhttp_request_get_input_buffer(m_request);
    m_body.resize(evbuffer_get_length(input));
    evbuffer_remove(input, m_body.data(), m_body.size());
}

void EvHttpExchange::watchConnection(event_base *base)
{
    const int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(m_connection));
    // Streamed parts are small and must not wait for the acknowledgement of earlier ones.
    const int enabled = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    evhttp_connection_set_closecb(m_connection, &EvHttpExchange::connectionClosed, this);
    // evhttp does not read while a request is served, so it would not see a hang-up by itself.
    m_closeEvent = event_new(base, fd, EV_CLOSED, &EvHttpExchange::peerClosed, this);
    event_add(m_closeEvent, nullptr);
}

std::optional<std::string> EvHttpExchange::query(const std::string &name) const
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

std::optional<std::string> EvHttpExchange::header(const std::string &name) const
{
    if (m_ended) {
        return std::nullopt;
    }
    const evkeyvalq *headers = evhttp_request_get_input_headers(m_request);
    const char *value = evhttp_find_header(headers, name.c_str());
    if (value == nullptr) {
        return std::nullopt;
    }
    return std::string(value);
}

void EvHttpExchange::addHeaders(const std::string &contentType, const HttpHeaders &headers)
{
    evkeyvalq *output = evhttp_request_get_output_headers(m_request);
    evhttp_add_header(output, "Content-Type", contentType.c_str());
    for (const auto &[name, value] : headers) {
        evhttp_add_header(output, name.c_str(), value.c_str());
    }
}

void EvHttpExchange::reply(int status, const std::string &contentType, std::string_view body,
                           const HttpHeaders &headers)
{
    if (m_ended) {
        return;
    }
    const auto self = m_self;
    addHeaders(contentType, headers);
    evbuffer *buffer = evbuffer_new();
    evbuffer_add(buffer, body.data(), body.size());
    watchFlush();
    evhttp_send_reply(m_request, status, nullptr, buffer);
    evbuffer_free(buffer);
}

void EvHttpExchange::startStream(int status, const std::string &contentType,
                                 const HttpHeaders &headers)
{
    if (m_ended) {
        return;
    }
    addHeaders(contentType, headers);
    evhttp_send_reply_start(m_request, status, nullptr);
}

void EvHttpExchange::sendPart(std::string_view data)
{
    if (m_ended || data.empty()) {
        return;
    }
    evbuffer *buffer = evbuffer_new();
    evbuffer_add(buffer, data.data(), data.size());
    evhttp_send_reply_chunk(m_request, buffer);
    evbuffer_free(buffer);
}

void EvHttpExchange::endStream()
{
    if (m_ended) {
        return;
    }
    const auto self = m_self;
    watchFlush();
    evhttp_send_reply_end(m_request);
}

void EvHttpExchange::abort()
{
    if (m_ended) {
        return;
    }
    const auto self = m_self;
    evhttp_connection *connection = m_connection;
    detach();
    --*m_unfinished;
    if (connection == nullptr) {
        evhttp_send_reply_end(m_request);
        return;
    }
    evhttp_connection_free(connection);
}

void EvHttpExchange::onHangUp(std::function<void()> callback)
{
    m_hangUp = std::move(callback);
}

void EvHttpExchange::detach()
{
    m_ended = true;
    m_hangUp = nullptr;
    if (m_closeEvent != nullptr) {
        event_free(m_closeEvent);
        m_closeEvent = nullptr;
    }
    if (m_connection != nullptr) {
        evhttp_connection_set_closecb(m_connection, nullptr, nullptr);
        m_connection = nullptr;
    }
    m_self.reset();
}

void EvHttpExchange::watchFlush()
{
    evhttp_connection *connection = m_connection;
    detach();
    if (connection == nullptr) {
        --*m_unfinished;
        return;
    }
    auto *watch = new FlushWatch{m_unfinished};
    evhttp_request_set_on_complete_cb(m_request, &FlushWatch::written, watch);
    evhttp_connection_set_closecb(connection, &FlushWatch::closed, watch);
}

void EvHttpExchange::reportHangUp()
{
    if (const std::function<void()> hangUp = std::exchange(m_hangUp, nullptr)) {
        hangUp();
    }
}

void EvHttpExchange::connectionClosed(evhttp_connection * /*connection*/, void *self)
{
    auto *exchange = static_cast<EvHttpExchange *>(self);
    const auto keepAlive = exchange->m_self;
    exchange->m_connection = nullptr;
    if (exchange->m_closeEvent != nullptr) {
        event_free(exchange->m_closeEvent);
        exchange->m_closeEvent = nullptr;
    }
    exchange->reportHangUp();
}

void EvHttpExchange::peerClosed(int /*fd*/, short /*flags*/, void *self)
{
    auto *exchange = static_cast<EvHttpExchange *>(self);
    const auto keepAlive = exchange->m_self;
    exchange->reportHangUp();
}

} // namespace lavendertally::http
