#include "http/internal/evhttpserver.h"

#include "framework/types/errorcontext.h"
#include "http/internal/evhttpexchange.h"
#include "http/types/httperror.h"

#include <event2/event.h>
#include <event2/http.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace lavendertally::http {

namespace {

constexpr int IdleConnectionTimeoutSeconds = 120;

std::uint16_t boundPort(evhttp_bound_socket *socket)
{
    sockaddr_storage address{};
    socklen_t length = sizeof address;
    getsockname(evhttp_bound_socket_get_fd(socket), reinterpret_cast<sockaddr *>(&address),
                &length);
    if (address.ss_family == AF_INET6) {
        return ntohs(reinterpret_cast<const sockaddr_in6 *>(&address)->sin6_port);
    }
    return ntohs(reinterpret_cast<const sockaddr_in *>(&address)->sin_port);
}

} // namespace

EvHttpServer::EvHttpServer(event_base *base, const HttpLimits &limits)
    : m_base(base), m_http(evhttp_new(base))
{
    evhttp_set_max_body_size(m_http, limits.maxBody.value());
    evhttp_set_max_headers_size(m_http, limits.maxHeaders.value());
    evhttp_set_timeout(m_http, IdleConnectionTimeoutSeconds);
    evhttp_set_allowed_methods(m_http, EVHTTP_REQ_GET | EVHTTP_REQ_POST);
    evhttp_set_gencb(m_http, &EvHttpServer::handleRequest, this);
}

EvHttpServer::~EvHttpServer()
{
    evhttp_free(m_http);
}

void EvHttpServer::setHandler(Handler handler)
{
    m_handler = std::move(handler);
}

framework::Result<framework::Endpoint> EvHttpServer::listen(const framework::Endpoint &endpoint)
{
    m_socket = evhttp_bind_socket_with_handle(m_http, endpoint.address.c_str(), endpoint.port);
    if (m_socket == nullptr) {
        return framework::leaf::new_error(
            HttpError::ListenFailed,
            framework::ErrorContext{"cannot listen on " + endpoint.toString()});
    }
    return framework::Endpoint{endpoint.address, boundPort(m_socket)};
}

void EvHttpServer::stopListening()
{
    if (m_socket != nullptr) {
        evhttp_del_accept_socket(m_http, m_socket);
        m_socket = nullptr;
    }
}

void EvHttpServer::handleRequest(evhttp_request *request, void *self)
{
    auto *server = static_cast<EvHttpServer *>(self);
    server->m_handler(EvHttpExchange::create(server->m_base, request, server->m_unfinished));
}

} // namespace lavendertally::http
