#pragma once

#include "framework/types/milliseconds.h"
#include "network/ibufferedsocketobserver.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace lavendertally::framework {
class ITimer;
}

namespace lavendertally::network {
class BufferedSocket;
}

namespace lavendertally::http {

class BufferedHttpServer;
class HeldBody;
class RequestParser;
class ServerExchange;

/// One client's connection: requests one after the other.
class ServerConnection final : public network::IBufferedSocketObserver
{
public:
    ServerConnection(BufferedHttpServer &server, int fd);
    ~ServerConnection() override;
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    void write(std::string_view data);
    /// \return bytes that the network has not taken yet
    std::size_t unsent() const;
    /// \return whether the response that begins now should be the last one on this connection; not
    /// while the client's next request has arrived
    bool closesAfterResponse() const;
    /// The client takes the orderly end of the connection for the end of the response under way.
    void endResponseWithClose();
    /// Makes the response under way the last one; the client has to be told by its header fields.
    void closeAfterResponse() { m_lastResponse = true; }
    /// \return whether no byte of a request has come since the last response
    bool isIdle() const;
    /// \return whether the last response has been sent and the client has to close
    bool isLingering() const { return m_lingering; }
    /// Ends an idle connection unless a request has arrived. One that has had no request yet ends
    /// after a short time without one.
    void closeIdle();
    /// The response has been written as a whole.
    void responseEnded();
    /// Ends the connection; the object is destroyed later.
    void close();

private:
    void onReadable() override;
    void onFlushed() override;
    void onClosed(bool inOrder) override;

    void readRequests();
    void handleRequest();
    void refuse(int status);
    void nextRequest();
    void linger();
    void startTimer(framework::Milliseconds delay);
    void timeOut();

    BufferedHttpServer &m_server;
    std::unique_ptr<network::BufferedSocket> m_socket;
    std::unique_ptr<RequestParser> m_parser;
    std::unique_ptr<HeldBody> m_body;
    std::shared_ptr<ServerExchange> m_exchange;
    std::unique_ptr<framework::ITimer> m_timer;
    /// Whether the time limit of the current request's head runs.
    bool m_isHeadTimed = false;
    bool m_handling = false;
    bool m_hadRequest = false;
    bool m_awaitsFirstRequest = false;
    bool m_lastResponse = false;
    bool m_closeEndsResponse = false;
    bool m_lingering = false;
    bool m_closed = false;
};

} // namespace lavendertally::http
