#include "http/internal/endpointprobe.h"

#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "framework/types/endpoint.h"
#include "network/bufferedsocket.h"

#include <utility>

namespace lavendertally::http {

EndpointProbe::EndpointProbe(framework::IEventLoop &loop, const framework::Endpoint &endpoint,
                             framework::Milliseconds timeout,
                             std::function<void(ProbeResult)> callback)
    : m_callback(std::move(callback)),
      m_socket(std::make_unique<network::BufferedSocket>(loop.base(), *this))
{
    const bool isConnecting =
        m_socket->connect(endpoint.address.c_str(), endpoint.port, framework::Milliseconds(0));
    m_timer = loop.callAfter(isConnecting ? timeout : framework::Milliseconds(0),
                             [this] { end(ProbeResult::Silent); });
}

EndpointProbe::~EndpointProbe()
{
    m_socket->detach();
}

void EndpointProbe::onConnected()
{
    end(ProbeResult::Listening);
}

void EndpointProbe::onClosed(bool /*inOrder*/)
{
    end(ProbeResult::NotListening);
}

void EndpointProbe::end(ProbeResult result)
{
    m_timer.reset();
    m_socket->detach();
    const auto callback = std::exchange(m_callback, nullptr);
    if (callback) {
        callback(result);
    }
}

} // namespace lavendertally::http
