#include "http/internal/evhttpcall.h"

#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "http/ihttpresponseobserver.h"
#include "http/internal/evhttpclient.h"
#include "http/types/httprequest.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <string>

namespace lavendertally::http {

namespace {

bool keepsAlive(evhttp_request *request)
{
    const char *value = evhttp_find_header(evhttp_request_get_input_headers(request), "Connection");
    return value == nullptr || std::string_view(value) != "close";
}

HttpHeaders readHeaders(evhttp_request *request)
{
    HttpHeaders headers;
    const evkeyvalq *fields = evhttp_request_get_input_headers(request);
    for (const evkeyval *field = fields->tqh_first; field != nullptr;
         field = field->next.tqe_next) {
        headers.emplace_back(field->key, field->value);
    }
    return headers;
}

} // namespace

EvHttpCall::EvHttpCall(EvHttpClient &client, const HttpRequest &request,
                       IHttpResponseObserver &observer)
    : m_client(client), m_observer(&observer), m_endpoint(request.endpoint)
{
    start(request);
}

EvHttpCall::~EvHttpCall()
{
    m_observer = nullptr;
    if (m_connection != nullptr) {
        // The request belongs to the connection and goes with it.
        if (m_request != nullptr) {
            evhttp_request_set_error_cb(m_request, nullptr);
            evhttp_request_set_chunked_cb(m_request, nullptr);
            evhttp_cancel_request(m_request);
        }
        m_client.discard(m_connection);
    }
}

void EvHttpCall::start(const HttpRequest &request)
{
    m_connection = m_client.acquire(m_endpoint);
    m_request = evhttp_request_new(&EvHttpCall::onDone, this);
    evhttp_request_set_chunked_cb(m_request, &EvHttpCall::onData);
    evhttp_request_set_error_cb(m_request, &EvHttpCall::onError);
    evkeyvalq *headers = evhttp_request_get_output_headers(m_request);
    evhttp_add_header(headers, "Host", m_endpoint.toString().c_str());
    for (const auto &[name, value] : request.headers) {
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(m_request), request.body.data(),
                 request.body.size());
    m_timeout = m_client.loop().callAfter(request.timeout, [this] { timeOut(); });
    const evhttp_cmd_type command =
        request.method == HttpMethod::Post ? EVHTTP_REQ_POST : EVHTTP_REQ_GET;
    if (evhttp_make_request(m_connection, m_request, command, request.target.c_str()) != 0) {
        // evhttp has freed the request.
        m_request = nullptr;
        m_timeout = m_client.loop().callAfter(framework::Milliseconds(0),
                                              [this] { finish(HttpEnd::NotSent, 0); });
    }
}

bool EvHttpCall::connected() const
{
    const int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(m_connection));
    if (fd < 0) {
        return false;
    }
    sockaddr_storage peer{};
    socklen_t length = sizeof peer;
    return getpeername(fd, reinterpret_cast<sockaddr *>(&peer), &length) == 0;
}

void EvHttpCall::timeOut()
{
    const HttpEnd end = connected() ? HttpEnd::TimedOut : HttpEnd::NotSent;
    evhttp_request *request = std::exchange(m_request, nullptr);
    evhttp_request_set_error_cb(request, nullptr);
    evhttp_request_set_chunked_cb(request, nullptr);
    evhttp_cancel_request(request);
    finish(end, 0);
}

void EvHttpCall::finish(HttpEnd end, int status)
{
    m_request = nullptr;
    m_timeout.reset();
    if (evhttp_connection *connection = std::exchange(m_connection, nullptr)) {
        if (end == HttpEnd::Complete) {
            m_client.release(m_endpoint, connection);
        } else {
            m_client.discard(connection);
        }
    }
    if (IHttpResponseObserver *observer = std::exchange(m_observer, nullptr)) {
        observer->onEnd(end, status);
    }
}

void EvHttpCall::onData(evhttp_request *request, void *self)
{
    auto *call = static_cast<EvHttpCall *>(self);
    evbuffer *input = evhttp_request_get_input_buffer(request);
    std::string data(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, data.data(), data.size());
    if (call->m_observer != nullptr) {
        call->m_observer->onData(evhttp_request_get_response_code(request), data);
    }
}

void EvHttpCall::onDone(evhttp_request *request, void *self)
{
    auto *call = static_cast<EvHttpCall *>(self);
    if (request == nullptr) {
        call->finish(call->m_failure, 0);
        return;
    }
    const int status = evhttp_request_get_response_code(request);
    if (status == 0) {
        call->finish(HttpEnd::NotSent, 0);
        return;
    }
    if (call->m_observer != nullptr) {
        call->m_observer->onHeaders(readHeaders(request));
    }
    if (!keepsAlive(request)) {
        call->m_client.discard(std::exchange(call->m_connection, nullptr));
    }
    call->finish(HttpEnd::Complete, status);
}

void EvHttpCall::onError(evhttp_request_error error, void *self)
{
    auto *call = static_cast<EvHttpCall *>(self);
    // evhttp calls onDone next, so the call must not end before.
    call->m_failure = error == EVREQ_HTTP_TIMEOUT ? HttpEnd::TimedOut : HttpEnd::Broken;
}

} // namespace lavendertally::http
