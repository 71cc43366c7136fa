#include "http/internal/evhttpclient.h"

#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "http/internal/evhttpcall.h"
#include "http/internal/wholeresponsecall.h"
#include "http/types/httprequest.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lavendertally::http {

namespace {

constexpr std::size_t MaxIdleConnectionsPerEndpoint = 64;

} // namespace

/// Connections to free once evhttp's callbacks have returned.
struct EvHttpClient::DiscardBin
{
    std::vector<evhttp_connection *> connections;
    std::unique_ptr<framework::ITimer> timer;

    void empty()
    {
        for (evhttp_connection *connection : connections) {
            evhttp_connection_free(connection);
        }
        connections.clear();
    }
};

EvHttpClient::EvHttpClient(framework::IEventLoop &loop)
    : m_loop(loop), m_discarded(std::make_unique<DiscardBin>())
{ }

EvHttpClient::~EvHttpClient()
{
    m_discarded->empty();
    for (auto &[endpoint, connections] : m_idle) {
        for (evhttp_connection *connection : connections) {
            evhttp_connection_free(connection);
        }
    }
}

std::unique_ptr<IHttpCall> EvHttpClient::send(const HttpRequest &request,
                                              IHttpResponseObserver &observer)
{
    return std::make_unique<EvHttpCall>(*this, request, observer);
}

std::unique_ptr<IHttpCall> EvHttpClient::fetch(const HttpRequest &request,
                                               std::function<void(HttpResponse)> callback)
{
    return std::make_unique<WholeResponseCall>(*this, request, std::move(callback));
}

evhttp_connection *EvHttpClient::acquire(const framework::Endpoint &endpoint)
{
    auto &idle = m_idle[endpoint];
    if (!idle.empty()) {
        evhttp_connection *connection = idle.back();
        idle.pop_back();
        return connection;
    }
    evhttp_connection *connection =
        evhttp_connection_base_new(m_loop.base(), nullptr, endpoint.address.c_str(), endpoint.port);
    evhttp_connection_set_retries(connection, 0);
    return connection;
}

void EvHttpClient::release(const framework::Endpoint &endpoint, evhttp_connection *connection)
{
    auto &idle = m_idle[endpoint];
    if (idle.size() >= MaxIdleConnectionsPerEndpoint) {
        discard(connection);
        return;
    }
    const int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    const int enabled = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    idle.push_back(connection);
}

void EvHttpClient::discard(evhttp_connection *connection)
{
    m_discarded->connections.push_back(connection);
    m_discarded->timer =
        m_loop.callAfter(framework::Milliseconds(0), [this] { m_discarded->empty(); });
}

} // namespace lavendertally::http
