#pragma once

#include "framework/types/endpoint.h"
#include "framework/types/milliseconds.h"
#include "network/bufferedsocket.h"
#include "network/ibufferedsocketobserver.h"
#include "standins/deferredcalls.h"

#include <cstddef>

namespace lavendertally::framework {
class IEventLoop;
}

namespace lavendertally::soak {

class LoopbackProxy;

/// One connection through a LoopbackProxy.
class ProxiedConnection
{
public:
    /// \param fd accepted socket
    ProxiedConnection(framework::IEventLoop &loop, int fd, const framework::Endpoint &target,
                      LoopbackProxy &proxy);

    /// Passes on what the mode of the proxy lets through.
    void pump();

private:
    class Side final : public network::IBufferedSocketObserver
    {
    public:
        explicit Side(ProxiedConnection &connection) : m_connection(connection) { }

        void onReadable() override { m_connection.pump(); }
        void onFlushed() override { m_connection.endIfDone(); }
        void onClosed(bool /*inOrder*/) override { m_connection.sideClosed(*this); }

        bool isClosed = false;

    private:
        ProxiedConnection &m_connection;
    };

    void sideClosed(Side &side);
    void pass(network::BufferedSocket &from, network::BufferedSocket &to, bool held);
    void endIfDone();

    LoopbackProxy &m_proxy;
    Side m_clientSide{*this};
    Side m_serverSide{*this};
    network::BufferedSocket m_client;
    network::BufferedSocket m_server;
    standins::DeferredCalls m_delayed;
    std::size_t m_delayedParts = 0;
    framework::Milliseconds m_lastDelay;
    bool m_ended = false;
};

} // namespace lavendertally::soak
