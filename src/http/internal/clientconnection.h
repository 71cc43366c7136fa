#pragma once

#include "framework/types/endpoint.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"
#include "http/types/httpclientoptions.h"
#include "network/ibufferedsocketobserver.h"

#include <cstddef>
#include <memory>
#include <string>

namespace lavendertally::framework {
class IEventLoop;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::network {
class BufferedSocket;
}

namespace lavendertally::http {

class ClientCall;
class PooledHttpClient;
class ResponseParser;

/// A client's connection to one server: connecting, serving one call, or idle.
class ClientConnection final : public network::IBufferedSocketObserver
{
public:
    ClientConnection(PooledHttpClient &client, framework::Endpoint endpoint);
    ~ClientConnection() override;
    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;

    const framework::Endpoint &endpoint() const { return m_endpoint; }
    framework::TimePoint idleSince() const { return m_idleSince; }

    /// Begins \p call; its outcome is reported later.
    /// \param request bytes of the whole request
    /// \param bodiless whether the response never has a body
    void begin(ClientCall &call, std::string request, bool bodiless);
    /// The call is not wanted any more; closes the connection.
    void cancel();
    /// Ends all callbacks and has the connection destroyed.
    void close();
    /// \return whether the server may have seen a byte of the request
    bool hasSent() const;
    /// Waits for the next call, for as long as the server keeps idle connections.
    void becomeIdle(framework::TimePoint now, framework::Milliseconds keepFor);

private:
    void onConnected() override;
    void onReadable() override;
    void onClosed(bool inOrder) override;

    void connect();
    void sendRequest();
    bool deliver();
    void finish(bool complete);

    PooledHttpClient &m_client;
    framework::Endpoint m_endpoint;
    std::unique_ptr<network::BufferedSocket> m_socket;
    std::unique_ptr<ResponseParser> m_parser;
    std::unique_ptr<framework::ITimer> m_timer;
    ClientCall *m_call = nullptr;
    std::string m_request;
    std::size_t m_requestSize = 0;
    framework::TimePoint m_idleSince;
    bool m_bodiless = false;
    bool m_connected = false;
    bool m_headDelivered = false;
    bool m_closed = false;
};

} // namespace lavendertally::http
