#include "http/internal/endpointprobe.h"

#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "http/iconnectiongate.h"
#include "network/bufferedsocket.h"

#include <utility>

namespace lavendertally::http {

EndpointProbe::EndpointProbe(framework::IEventLoop &loop, IConnectionGate *gate,
                             const framework::Endpoint &endpoint, framework::Milliseconds timeout,
                             std::function<void(ProbeResult)> callback)
    : m_gate(gate), m_endpoint(endpoint), m_callback(std::move(callback)),
      m_socket(std::make_unique<network::BufferedSocket>(loop.base(), *this))
{
    if (m_gate != nullptr) {
        m_gate->connectionOpened(m_endpoint);
    }
    const bool isConnecting =
        m_socket->connect(endpoint.address.c_str(), endpoint.port, framework::Milliseconds(0));
    m_timer = loop.callAfter(isConnecting ? timeout : framework::Milliseconds(0),
                             [this] { end(ProbeResult::Silent); });
}

EndpointProbe::~EndpointProbe()
{
    close();
}

/// The socket itself is closed when this object is destroyed, within the same turn of the loop as
/// a rule.
void EndpointProbe::close()
{
    if (!std::exchange(m_isOpen, false)) {
        return;
    }
    m_socket->detach();
    if (m_gate != nullptr) {
        m_gate->connectionClosed(m_endpoint, ConnectionClose::InUse);
    }
}

void EndpointProbe::onConnected()
{
    end(ProbeResult::Listening);
}

void EndpointProbe::onClosed(bool /*inOrder*/)
{
    // A server that has as many connections as it accepts resets those beyond.
    end(m_socket->wasReset() ? ProbeResult::Listening : ProbeResult::NotListening);
}

void EndpointProbe::end(ProbeResult result)
{
    m_timer.reset();
    close();
    const auto callback = std::exchange(m_callback, nullptr);
    if (callback) {
        callback(result);
    }
}

} // namespace lavendertally::http
