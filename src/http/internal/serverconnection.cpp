#include "http/internal/serverconnection.h"

#include "budget/types/clientstanding.h"
#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "http/internal/bufferedhttpserver.h"
#include "http/internal/httpstatus.h"
#include "http/internal/requestholding.h"
#include "http/internal/requestparser.h"
#include "http/internal/serverexchange.h"
#include "network/bufferedsocket.h"

#include <algorithm>
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

/// What is read ahead while a request is being handled; the rest waits in the socket.
constexpr std::size_t ReadAheadBytes = 4 * 1024;

/// Bytes after which the rate of a connection is brought up to date.
constexpr std::size_t NotedBytes = 16 * 1024;

} // namespace

ServerConnection::ServerConnection(BufferedHttpServer &server, int fd,
                                   budget::ClientAddress address)
    : m_server(server),
      m_socket(std::make_unique<network::BufferedSocket>(server.loop().base(), fd, *this)),
      m_parser(std::make_unique<RequestParser>(server.limits())),
      m_account(server.budget(), address, *this, server.now())
{
    startTimer(server.limits().idleTimeout);
}

ServerConnection::~ServerConnection() = default;

void ServerConnection::write(std::string_view data)
{
    if (!m_closed) {
        m_socket->write(data);
        holdAnswer();
    }
}

void ServerConnection::holdAnswer()
{
    const std::size_t unsent = m_socket->unsent();
    if (unsent > 0 || m_account.isAnswerWaiting()) {
        m_account.holdAnswer(unsent, m_server.now());
        m_server.relieveBudget();
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
    } else if (m_socket->isInputFull()) {
        // The end of the connection is not read behind what waits in the socket.
        m_socket->watchPeerClose();
    }
}

void ServerConnection::onPeerClosing()
{
    if (m_handling) {
        close();
    }
}

void ServerConnection::readRequests()
{
    m_hasArrived = false;
    while (!m_handling && !m_closed && !m_lingering) {
        const std::string_view input = m_socket->input();
        if (input.empty()) {
            return;
        }
        const bool wasStarted = m_parser->hasStarted();
        std::size_t taken = 0;
        const RequestParser::State state = m_parser->feed(input, taken);
        const bool isStuck = taken == 0 && m_socket->isInputFull();
        noteArrived(input.size(), taken);
        m_socket->consume(taken);
        if (!wasStarted) {
            m_account.begin(m_server.now());
        }
        if (state == RequestParser::State::NeedMore && isStuck) {
            refuse(HttpStatus::HeaderFieldsTooLarge);
            return;
        }
        if (state == RequestParser::State::Refused) {
            refuse(m_parser->refusalStatus());
            return;
        }
        if (!continueIf(m_account.drawInput(m_socket->inputMemory(), m_parser->bodyMemory()))) {
            return;
        }
        if (m_parser->takeExpectsContinue()) {
            m_socket->write("HTTP/1.1 100 Continue\r\n\r\n");
        }
        if (state == RequestParser::State::NeedMore) {
            awaitMore();
            return;
        }
        handleRequest();
    }
}

void ServerConnection::noteArrived(std::size_t inputSize, std::size_t taken)
{
    const std::size_t arrived = inputSize - std::min(m_leftInput, inputSize);
    m_leftInput = inputSize - taken;
    m_arrivedInTime += arrived;
    m_arrivedUnnoted += arrived;
    // The time is not read for each piece of a body.
    if (m_arrivedUnnoted >= NotedBytes || m_timed == Timed::Idle) {
        m_account.noteArrived(std::exchange(m_arrivedUnnoted, 0), m_server.now());
    }
}

bool ServerConnection::continueIf(bool isDrawn)
{
    const bool hasGivenWay = m_closed || m_lingering;
    if (!isDrawn && !hasGivenWay) {
        refuse(HttpStatus::ServiceUnavailable);
    }
    return isDrawn && !hasGivenWay;
}

/// The head has to be complete within the time limit, and a body has to come at the least rate: the
/// limit starts again with each part that the rate asks for, not with each byte.
void ServerConnection::awaitMore()
{
    const HttpLimits &limits = m_server.limits();
    const Timed timed = m_parser->hasHead() ? Timed::Body : Timed::Head;
    constexpr std::int64_t MillisecondsPerSecond = 1000;
    const std::int64_t part =
        limits.minBodyRate.value() * limits.requestTimeout.value() / MillisecondsPerSecond;
    if (timed == m_timed
        && (timed == Timed::Head
            || std::cmp_less(m_arrivedInTime, std::max<std::int64_t>(part, 1)))) {
        return;
    }
    m_timed = timed;
    m_arrivedInTime = 0;
    startTimer(limits.requestTimeout);
}

void ServerConnection::handleRequest()
{
    std::string body = m_parser->takeBody();
    if (!continueIf(m_account.drawExchange(body.size()))) {
        return;
    }
    m_timer.reset();
    m_timed = Timed::Idle;
    m_hadRequest = true;
    m_handling = true;
    m_lastResponse = !m_parser->keepAlive();
    m_socket->limitInput(ReadAheadBytes);
    m_exchange = std::make_shared<ServerExchange>(
        *this, m_parser->takeHead(), std::move(body), m_account.handOver(),
        m_parser->understandsChunks(), m_server.unfinished());
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
    if (m_account.isAnswerWaiting()) {
        m_account.answerTaken(m_server.now());
    }
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
    m_account.begin(m_server.now());
    m_leftInput = 0;
    m_arrivedInTime = 0;
    m_socket->liftInputLimit();
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
    m_account.begin(m_server.now());
    // The request is not read any more, and a client that does not close keeps nothing of it.
    m_parser.reset();
    m_account.releaseRequest();
    m_socket->consume(m_socket->input().size());
    m_socket->liftInputLimit();
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
    m_account.close(*this);
    m_parser.reset();
    if (m_closeEndsResponse && m_exchange) {
        m_socket->resetOnClose();
    }
    m_server.discard(*this);
    if (const auto exchange = std::exchange(m_exchange, nullptr)) {
        exchange->detach();
    }
}

budget::ClientActivity ServerConnection::activity() const
{
    if (m_closed || m_hasArrived) {
        return budget::ClientActivity::Busy;
    }
    if (m_lingering) {
        return budget::ClientActivity::Leaving;
    }
    if (m_handling) {
        return m_account.isAnswerWaiting() ? budget::ClientActivity::Reading
                                           : budget::ClientActivity::Busy;
    }
    return m_parser->hasStarted() ? budget::ClientActivity::Sending : budget::ClientActivity::Idle;
}

budget::ClientStanding ServerConnection::standing(framework::TimePoint now) const
{
    return m_account.standing(activity(), now);
}

bool ServerConnection::giveWay(budget::Cause cause)
{
    const budget::ClientActivity current = activity();
    if (current == budget::ClientActivity::Idle && m_socket->hasUnreadInput()) {
        // A request has arrived, and the loop reads it next.
        m_hasArrived = true;
        return false;
    }
    if (current == budget::ClientActivity::Sending) {
        refuse(HttpStatus::ServiceUnavailable);
    }
    if (current != budget::ClientActivity::Sending || cause == budget::Cause::Descriptors) {
        close();
    }
    return true;
}

} // namespace lavendertally::http
