#pragma once

#include "framework/types/endpoint.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"
#include "http/types/connectionclose.h"
#include "http/types/httpclientoptions.h"
#include "http/types/httpend.h"
#include "network/ibufferedsocketobserver.h"

#include <cstddef>
#include <memory>
#include <optional>
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
    /// \param acceptanceWait time for which a new connection is watched before it is written to
    void begin(ClientCall &call, std::string request, bool bodiless,
               framework::Milliseconds acceptanceWait);
    /// The call is not wanted any more; closes the connection.
    void cancel();
    /// Hands nothing on to the call until resume(); what the server sends meanwhile fills the input
    /// of the socket and then holds the server back.
    void pause();
    void resume();
    /// Ends all callbacks and has the connection destroyed.
    void close();
    /// \return whether the server may have seen a byte of the request
    bool hasSent() const;
    /// Waits for the next call, for as long as the server keeps idle connections.
    void becomeIdle(framework::TimePoint now, framework::Milliseconds keepFor);

private:
    enum class Flow
    {
        Running,
        Paused,
        /// The pause is over and what has arrived is handed on soon.
        Resuming,
    };

    void onConnected() override;
    void onReadable() override;
    void onPeerClosing() override;
    void onClosed(bool inOrder) override;

    void connect();
    void sendRequest();
    void readResponse();
    /// Reads the next part of the input.
    /// \return whether more can be done now
    bool readPart();
    void afterPause();
    bool deliver();
    /// Ends a response that ends with the server's side of the connection, once the server has
    /// acknowledged the whole request. One that resets the connection instead may have cut its
    /// answer.
    void awaitAcknowledgement();
    void endWithConnection();
    void finish(bool complete);
    /// \return whether the server has ended the connection without failing, as far as can be told:
    /// because it has too many, or because it was idle
    bool isRejected() const;
    HttpEnd incompleteEnd() const;
    ConnectionClose closeState() const;

    PooledHttpClient &m_client;
    framework::Endpoint m_endpoint;
    std::unique_ptr<network::BufferedSocket> m_socket;
    std::unique_ptr<ResponseParser> m_parser;
    std::unique_ptr<framework::ITimer> m_timer;
    std::unique_ptr<framework::ITimer> m_resumeTimer;
    ClientCall *m_call = nullptr;
    /// Largest part of the input that is read at once; raised for what cannot be taken in parts.
    std::size_t m_partSize = 0;
    Flow m_flow = Flow::Running;
    /// Set if the response has been read to its end and only its end waits: whether it is complete.
    std::optional<bool> m_completeAfterPause;
    /// Set if the connection has ended during the pause: whether in order.
    std::optional<bool> m_closedInOrder;
    /// Set if the response has ended with the server's side of the connection before the server had
    /// acknowledged the whole request: bytes that are missing.
    std::optional<std::size_t> m_unacknowledged;
    /// When fewer bytes were missing than before.
    framework::TimePoint m_acknowledgedAt;
    std::string m_request;
    std::size_t m_requestSize = 0;
    framework::Milliseconds m_acceptanceWait;
    framework::TimePoint m_connectedAt;
    framework::TimePoint m_idleSince;
    bool m_isIdle = false;
    /// Whether the request under way has been handed to the socket.
    bool m_isWritten = false;
    /// Whether any byte has arrived on this connection.
    bool m_hasReceived = false;
    /// Whether the server has ended the connection, and whether with a reset.
    bool m_isEndedByServer = false;
    bool m_isReset = false;
    bool m_bodiless = false;
    bool m_connected = false;
    bool m_headDelivered = false;
    /// Whether what has arrived is no response.
    bool m_isMalformed = false;
    bool m_closed = false;
};

} // namespace lavendertally::http
