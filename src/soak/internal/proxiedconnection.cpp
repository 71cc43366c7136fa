#include "soak/internal/proxiedconnection.h"

#include "framework/ieventloop.h"
#include "soak/internal/loopbackproxy.h"

#include <algorithm>
#include <string>
#include <utility>

namespace lavendertally::soak {

ProxiedConnection::ProxiedConnection(framework::IEventLoop &loop, int fd,
                                     const framework::Endpoint &target, LoopbackProxy &proxy)
    : m_proxy(proxy), m_client(loop.base(), fd, m_clientSide), m_server(loop.base(), m_serverSide),
      m_delayed(loop)
{
    if (!m_server.connect(target.address.c_str(), target.port, framework::Milliseconds(0))) {
        sideClosed(m_serverSide);
    }
}

void ProxiedConnection::pump()
{
    const ProxyMode mode = m_proxy.mode();
    const bool silent = mode == ProxyMode::Silence;
    pass(m_client, m_server, silent || mode == ProxyMode::HoldRequests);
    pass(m_server, m_client, silent || mode == ProxyMode::HoldReplies);
    endIfDone();
}

void ProxiedConnection::pass(network::BufferedSocket &from, network::BufferedSocket &to, bool held)
{
    if (held || m_ended) {
        return;
    }
    std::string data(from.input());
    if (data.empty()) {
        return;
    }
    from.consume(data.size());
    if (m_proxy.mode() != ProxyMode::Delay && m_delayedParts == 0) {
        to.write(data);
        return;
    }
    // Parts keep their order: none is delayed less than one that is still on its way.
    m_lastDelay = m_delayedParts == 0 ? m_proxy.delay() : std::max(m_proxy.delay(), m_lastDelay);
    ++m_delayedParts;
    m_delayed.callAfter(m_lastDelay, [this, &to, data = std::move(data)] {
        --m_delayedParts;
        to.write(data);
        endIfDone();
    });
}

void ProxiedConnection::sideClosed(Side &side)
{
    side.isClosed = true;
    pump();
}

/// A side that closed takes the other one down once all that it sent has been passed on.
void ProxiedConnection::endIfDone()
{
    const bool clientDone = m_clientSide.isClosed && m_client.input().empty();
    const bool serverDone =
        m_serverSide.isClosed && m_server.input().empty() && m_client.unsent() == 0;
    if (!m_ended && m_delayedParts == 0 && (clientDone || serverDone)) {
        m_ended = true;
        m_proxy.remove(*this);
    }
}

} // namespace lavendertally::soak
