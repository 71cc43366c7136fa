#pragma once

#include "budget/ibudgetclient.h"
#include "framework/types/milliseconds.h"
#include "http/internal/connectionaccount.h"
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
class RequestParser;
class ServerExchange;

/// One client's connection: requests one after the other.
class ServerConnection final : public network::IBufferedSocketObserver, public budget::IBudgetClient
{
public:
    ServerConnection(BufferedHttpServer &server, int fd, budget::ClientAddress address);
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

    budget::ClientStanding standing(framework::TimePoint now) const override;
    bool giveWay(budget::Cause cause) override;

private:
    void onReadable() override;
    void onFlushed() override;
    void onPeerClosing() override;
    void onClosed(bool inOrder) override;

    void readRequests();
    /// \param isDrawn whether the budget bears the request
    /// \return false if the request has been refused, also to give way to others
    bool continueIf(bool isDrawn);
    /// Restarts the time limit of a request that goes on.
    void awaitMore();
    void noteArrived(std::size_t inputSize, std::size_t taken);
    void holdAnswer();
    budget::ClientActivity activity() const;
    void handleRequest();
    void refuse(int status);
    void nextRequest();
    void linger();
    void startTimer(framework::Milliseconds delay);
    void timeOut();

    BufferedHttpServer &m_server;
    std::unique_ptr<network::BufferedSocket> m_socket;
    std::unique_ptr<RequestParser> m_parser;
    ConnectionAccount m_account;
    /// Input that was there before and is not taken.
    std::size_t m_leftInput = 0;
    std::size_t m_arrivedUnnoted = 0;
    /// Bytes of the body that have come since the time limit was started.
    std::size_t m_arrivedInTime = 0;
    std::shared_ptr<ServerExchange> m_exchange;
    std::unique_ptr<framework::ITimer> m_timer;
    /// What the time limit runs for.
    enum class Timed
    {
        Idle,
        Head,
        Body,
    };
    Timed m_timed = Timed::Idle;
    bool m_handling = false;
    bool m_hadRequest = false;
    bool m_awaitsFirstRequest = false;
    bool m_lastResponse = false;
    bool m_closeEndsResponse = false;
    bool m_lingering = false;
    /// Whether a request was found that the loop has not read yet.
    bool m_hasArrived = false;
    bool m_closed = false;
};

} // namespace lavendertally::http
