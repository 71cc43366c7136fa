#include "soak/internal/loopbackproxy.h"

#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "soak/internal/proxiedconnection.h"

#include <event2/event.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace lavendertally::soak {

namespace {

constexpr int Backlog = 128;

void closeWithReset(int fd)
{
    const linger none{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &none, sizeof none);
    close(fd);
}

} // namespace

LoopbackProxy::LoopbackProxy(framework::IEventLoop &loop, framework::Endpoint target)
    : m_loop(loop), m_target(std::move(target))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    m_listener =
        evconnlistener_new_bind(loop.base(), &LoopbackProxy::accepted, this,
                                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
                                Backlog, reinterpret_cast<sockaddr *>(&address), sizeof address);
    socklen_t length = sizeof address;
    getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&address), &length);
    m_endpoint = {"127.0.0.1", ntohs(address.sin_port)};
}

LoopbackProxy::~LoopbackProxy()
{
    evconnlistener_free(m_listener);
}

void LoopbackProxy::accepted(evconnlistener * /*listener*/, int fd, sockaddr * /*address*/,
                             int /*length*/, void *self)
{
    auto *proxy = static_cast<LoopbackProxy *>(self);
    if (proxy->m_mode == ProxyMode::Reset) {
        closeWithReset(fd);
        return;
    }
    proxy->m_connections.push_back(
        std::make_unique<ProxiedConnection>(proxy->m_loop, fd, proxy->m_target, *proxy));
}

void LoopbackProxy::setMode(ProxyMode mode, framework::Milliseconds delay)
{
    m_mode = mode;
    m_delay = delay;
    if (mode == ProxyMode::Reset) {
        m_connections.clear();
        return;
    }
    std::vector<ProxiedConnection *> connections;
    for (const auto &connection : m_connections) {
        connections.push_back(connection.get());
    }
    for (ProxiedConnection *connection : connections) {
        connection->pump();
    }
}

void LoopbackProxy::remove(ProxiedConnection &connection)
{
    const auto found =
        std::find_if(m_connections.begin(), m_connections.end(),
                     [&connection](const auto &each) { return each.get() == &connection; });
    if (found == m_connections.end()) {
        return;
    }
    m_ended.push_back(std::move(*found));
    m_connections.erase(found);
    m_endedTimer = m_loop.callAfter(framework::Milliseconds(0), [this] { m_ended.clear(); });
}

} // namespace lavendertally::soak
