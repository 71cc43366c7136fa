#include "http/internal/bufferedhttpserver.h"

#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "framework/types/errorcontext.h"
#include "http/ihttpexchange.h"
#include "http/internal/serverconnection.h"
#include "http/types/httperror.h"

#include <event2/event.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace lavendertally::http {

namespace {

/// Connections that may wait to be accepted; a herd of clients reconnects at once after a restart.
constexpr int Backlog = 1024;

} // namespace

BufferedHttpServer::BufferedHttpServer(framework::IEventLoop &loop, const HttpLimits &limits)
    : m_loop(loop), m_limits(limits)
{ }

BufferedHttpServer::~BufferedHttpServer()
{
    if (m_listener != nullptr) {
        evconnlistener_free(m_listener);
    }
    for (auto &[address, connection] : std::exchange(m_connections, {})) {
        m_discarded.push_back(std::move(connection));
    }
    for (const auto &connection : m_discarded) {
        connection->close();
    }
}

void BufferedHttpServer::setHandler(Handler handler)
{
    m_handler = std::move(handler);
}

framework::Result<framework::Endpoint>
BufferedHttpServer::listen(const framework::Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    const bool valid = inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr) == 1;
    if (valid) {
        m_listener = evconnlistener_new_bind(
            m_loop.base(), &BufferedHttpServer::accepted, this,
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, Backlog,
            reinterpret_cast<sockaddr *>(&address), sizeof address);
    }
    if (m_listener == nullptr) {
        return framework::leaf::new_error(
            HttpError::ListenFailed,
            framework::ErrorContext{"cannot listen on " + endpoint.toString()});
    }
    sockaddr_in bound{};
    socklen_t length = sizeof bound;
    getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&bound), &length);
    return framework::Endpoint{endpoint.address, ntohs(bound.sin_port)};
}

void BufferedHttpServer::stopListening()
{
    if (m_listener == nullptr) {
        return;
    }
    // Closing the listener resets the connections that wait to be accepted.
    const int listenerFd = evconnlistener_get_fd(m_listener);
    int fd = -1;
    while ((fd = accept4(listenerFd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        accepted(m_listener, fd, nullptr, 0, this);
    }
    evconnlistener_free(m_listener);
    m_listener = nullptr;
}

void BufferedHttpServer::closeIdleConnections()
{
    std::vector<ServerConnection *> idle;
    for (const auto &[address, connection] : m_connections) {
        if (connection->isIdle()) {
            idle.push_back(address);
        }
    }
    for (ServerConnection *connection : idle) {
        connection->closeIdle();
    }
}

std::size_t BufferedHttpServer::connectionsInUse() const
{
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(),
                      [](const auto &entry) { return !entry.second->isLingering(); }));
}

void BufferedHttpServer::accepted(evconnlistener * /*listener*/, int fd, sockaddr * /*address*/,
                                  int /*length*/, void *self)
{
    auto *server = static_cast<BufferedHttpServer *>(self);
    auto connection = std::make_unique<ServerConnection>(*server, fd);
    ServerConnection *address = connection.get();
    server->m_connections.emplace(address, std::move(connection));
}

void BufferedHttpServer::handle(const std::shared_ptr<IHttpExchange> &exchange)
{
    m_handler(exchange);
}

void BufferedHttpServer::noteRefusal(int status) const
{
    if (m_refused) {
        m_refused(status);
    }
}

void BufferedHttpServer::discard(ServerConnection &connection)
{
    auto node = m_connections.extract(&connection);
    if (node.empty()) {
        return;
    }
    m_discarded.push_back(std::move(node.mapped()));
    m_discardTimer = m_loop.callAfter(framework::Milliseconds(0), [this] { m_discarded.clear(); });
}

} // namespace lavendertally::http
