#pragma once

#include "framework/types/endpoint.h"
#include "framework/types/milliseconds.h"
#include "soak/internal/proxymode.h"

#include <memory>
#include <vector>

struct evconnlistener;
struct sockaddr;

namespace lavendertally::framework {
class IEventLoop;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::soak {

class ProxiedConnection;

/// Passes TCP connections on to one endpoint on loopback, and disturbs them on request.
class LoopbackProxy
{
public:
    LoopbackProxy(framework::IEventLoop &loop, framework::Endpoint target);
    ~LoopbackProxy();
    LoopbackProxy(const LoopbackProxy &) = delete;
    LoopbackProxy &operator=(const LoopbackProxy &) = delete;

    /// \return where it listens
    const framework::Endpoint &endpoint() const { return m_endpoint; }

    /// \param delay of ProxyMode::Delay
    void setMode(ProxyMode mode, framework::Milliseconds delay = {});
    ProxyMode mode() const { return m_mode; }
    framework::Milliseconds delay() const { return m_delay; }

    /// Forgets \p connection, which has ended.
    void remove(ProxiedConnection &connection);

private:
    static void accepted(evconnlistener *listener, int fd, sockaddr *address, int length,
                         void *self);

    framework::IEventLoop &m_loop;
    framework::Endpoint m_target;
    framework::Endpoint m_endpoint;
    ProxyMode m_mode = ProxyMode::Pass;
    framework::Milliseconds m_delay;
    evconnlistener *m_listener = nullptr;
    std::vector<std::unique_ptr<ProxiedConnection>> m_connections;
    std::vector<std::unique_ptr<ProxiedConnection>> m_ended;
    std::unique_ptr<framework::ITimer> m_endedTimer;
};

} // namespace lavendertally::soak
