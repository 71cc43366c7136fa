#pragma once

#include "framework/types/endpoint.h"
#include "framework/types/milliseconds.h"
#include "http/ihttpcall.h"
#include "http/types/proberesult.h"
#include "network/ibufferedsocketobserver.h"

#include <functional>
#include <memory>

namespace lavendertally::framework {
class IEventLoop;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::network {
class BufferedSocket;
}

namespace lavendertally::http {

class IConnectionGate;

/// Opens a connection to find out whether a server listens, and closes it.
class EndpointProbe final : public IHttpCall, public network::IBufferedSocketObserver
{
public:
    /// \param gate told of the connection, which it cannot prevent: a probe follows the loss of
    /// another one; null if connections are not limited
    /// \param timeout time after which the server counts as silent
    /// \param callback called once, later, unless the probe is destroyed first
    EndpointProbe(framework::IEventLoop &loop, IConnectionGate *gate,
                  const framework::Endpoint &endpoint, framework::Milliseconds timeout,
                  std::function<void(ProbeResult)> callback);
    ~EndpointProbe() override;
    EndpointProbe(const EndpointProbe &) = delete;
    EndpointProbe &operator=(const EndpointProbe &) = delete;

private:
    void onConnected() override;
    void onReadable() override { }
    void onClosed(bool inOrder) override;
    /// The callback may destroy this object.
    void end(ProbeResult result);
    void close();

    IConnectionGate *m_gate;
    framework::Endpoint m_endpoint;
    bool m_isOpen = true;
    std::function<void(ProbeResult)> m_callback;
    std::unique_ptr<network::BufferedSocket> m_socket;
    std::unique_ptr<framework::ITimer> m_timer;
};

} // namespace lavendertally::http
