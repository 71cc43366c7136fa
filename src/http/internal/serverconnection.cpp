#include "http/internal/serverconnection.h"

#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "http/internal/bufferedhttpserver.h"
#include "http/internal/heldbody.h"
#include "http/internal/httpstatus.h"
#include "http/internal/requestparser.h"
#include "http/internal/serverexchange.h"
#include "network/bufferedsocket.h"

#include <string>
#include <utility>

namespace lavendertally::http {

namespace {

/// How long a connection is read on after its last response, so that the client gets that response
/// and not a reset.
constexpr framework::Milliseconds LingerTime{1000};

/// Time for the first request on a new connection of a server that closes its idle ones; a client
/// that has just connected sends its request within a round trip.
constexpr framework::Milliseconds FirstRequestTime{300};

} // namespace

ServerConnection::ServerConnection(BufferedHttpServer &server, int fd)
    : m_server(server),
      m_socket(std::make_unique<network::BufferedSocket>(server.loop().base(), fd, *this)),
      m_parser(std::make_unique<RequestParser>(server.limits())),
      m_body(std::make_unique<HeldBody>(server.heldBodies()))
{
    startTimer(server.limits().idleTimeout);
}

ServerConnection::~ServerConnection() = default;

void ServerConnection::write(std::string_view data)
{
    if (!m_closed) {
        m_socket->write(data);
    }
}

std::size_t ServerConnection::unsent() const
{
    return m_socket->unsent();
}

bool ServerConnection::closesAfterResponse() const
{
    return m_lastResponse || (m_server.isClosing() && !m_socket->hasUnreadInput());
}

void ServerConnection::endResponseWithClose()
{
    m_lastResponse = true;
    m_closeEndsResponse = true;
}

bool ServerConnection::isIdle() const
{
    return !m_handling && !m_lingering && !m_parser->hasStarted();
}

void ServerConnection::closeIdle()
{
    if (m_socket->hasUnreadInput()) {
        return;
    }
    if (m_hadRequest) {
        close();
    } else if (!std::exchange(m_awaitsFirstRequest, true)) {
        startTimer(FirstRequestTime);
    }
}

void ServerConnection::onReadable()
{
    if (m_lingering) {
        m_socket->consume(m_socket->input().size());
        return;
    }
    if (!m_handling) {
        readRequests();
    }
}

void ServerConnection::readRequests()
{
    while (!m_handling && !m_closed && !m_lingering) {
        const std::string_view input = m_socket->input();
        if (input.empty()) {
            return;
        }
        std::size_t taken = 0;
        const RequestParser::State state = m_parser->feed(input, taken);
        const bool isStuck = taken == 0 && m_socket->isInputFull();
        m_socket->consume(taken);
        if (state == RequestParser::State::NeedMore && isStuck) {
            refuse(HttpStatus::HeaderFieldsTooLarge);
            return;
        }
        if (state == RequestParser::State::Refused) {
            refuse(m_parser->refusalStatus());
            return;
        }
        m_body->resize(m_parser->bodySize());
        if (std::cmp_greater(m_body->total(), m_server.limits().maxHeldBodies.value())) {
            m_body->resize(0);
            refuse(HttpStatus::ServiceUnavailable);
            return;
        }
        if (m_parser->takeExpectsContinue()) {
            m_socket->write("HTTP/1.1 100 Continue\r\n\r\n");
        }
        if (state == RequestParser::State::NeedMore) {
            // The head has to be complete within the time limit; a body only has to go on.
            if (!std::exchange(m_isHeadTimed, true) || m_parser->hasHead()) {
                startTimer(m_server.limits().requestTimeout);
            }
            return;
        }
        handleRequest();
    }
}

void ServerConnection::handleRequest()
{
    m_timer.reset();
    m_isHeadTimed = false;
    m_hadRequest = true;
    m_handling = true;
    m_lastResponse = !m_parser->keepAlive();
    m_exchange = std::make_shared<ServerExchange>(*this, m_parser->takeHead(), m_parser->takeBody(),
                                                  std::move(m_body), m_parser->understandsChunks(),
                                                  m_server.unfinished());
    // The handler may end the exchange, and with it this connection's hold on it.
    const auto exchange = m_exchange;
    m_server.handle(exchange);
}

void ServerConnection::responseEnded()
{
    if (m_closed) {
        return;
    }
    if (m_socket->unsent() == 0) {
        nextRequest();
    }
}

void ServerConnection::onFlushed()
{
    if (m_closed || !m_exchange) {
        return;
    }
    if (m_exchange->hasEnded()) {
        nextRequest();
        return;
    }
    const auto exchange = m_exchange;
    exchange->flushed();
}

void ServerConnection::nextRequest()
{
    if (m_exchange) {
        m_exchange->countFinished();
        m_exchange.reset();
    }
    m_handling = false;
    if (m_lastResponse) {
        linger();
        return;
    }
    m_parser = std::make_unique<RequestParser>(m_server.limits());
    m_body = std::make_unique<HeldBody>(m_server.heldBodies());
    startTimer(m_server.limits().idleTimeout);
    if (!m_socket->input().empty()) {
        // A client that pipelines would otherwise deepen the stack with each request.
        m_timer = m_server.loop().callAfter(framework::Milliseconds(0), [this] {
            startTimer(m_server.limits().idleTimeout);
            readRequests();
        });
    }
}

void ServerConnection::refuse(int status)
{
    m_lastResponse = true;
    const bool mayRepeat = status == HttpStatus::ServiceUnavailable;
    m_server.noteRefusal(status);
    m_socket->write("HTTP/1.1 " + std::to_string(status) + " Refused\r\n"
                    + (mayRepeat ? "Retry-After: 1\r\n" : "")
                    + "Connection: close\r\nContent-Length: 0\r\n\r\n");
    linger();
}

void ServerConnection::linger()
{
    m_lingering = true;
    m_socket->consume(m_socket->input().size());
    m_socket->shutDownSending();
    startTimer(LingerTime);
}

void ServerConnection::startTimer(framework::Milliseconds delay)
{
    m_timer = m_server.loop().callAfter(delay, [this] { timeOut(); });
}

void ServerConnection::timeOut()
{
    if (!m_lingering && m_parser->hasStarted()) {
        refuse(HttpStatus::RequestTimeout);
        return;
    }
    if (isIdle() && m_socket->hasUnreadInput()) {
        // A request has arrived, and the loop reads it next.
        startTimer(m_server.limits().requestTimeout);
        return;
    }
    close();
}

void ServerConnection::onClosed(bool /*inOrder*/)
{
    close();
}

void ServerConnection::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_timer.reset();
    if (m_closeEndsResponse && m_exchange) {
        m_socket->resetOnClose();
    }
    m_server.discard(*this);
    if (const auto exchange = std::exchange(m_exchange, nullptr)) {
        exchange->detach();
    }
}

} // namespace lavendertally::http
