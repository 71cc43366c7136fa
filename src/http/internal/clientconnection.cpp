#include "http/internal/clientconnection.h"

#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "http/headerlookup.h"
#include "http/internal/clientcall.h"
#include "http/internal/pooledhttpclient.h"
#include "http/internal/responseparser.h"
#include "network/bufferedsocket.h"

#include <charconv>
#include <optional>
#include <utility>

namespace lavendertally::http {

namespace {

constexpr std::int64_t MillisecondsPerSecond = 1000;

/// A call that pauses is handed at most this much more of the body.
constexpr std::size_t MaxPartBytes = 16 * 1024;

/// A server that accepts and resets connections over its limit does so within its next turn; one
/// that is busy takes a few tens of milliseconds for that.
constexpr framework::Milliseconds RejectionWindow{100};

/// A server that has closed its side and acknowledges nothing more of a request for this long does
/// not take it.
constexpr framework::Milliseconds AcknowledgementWait{1000};
constexpr framework::Milliseconds AcknowledgementCheckInterval{10};

/// \return the time that the server states in `Keep-Alive: timeout=SECONDS`
std::optional<framework::Milliseconds> statedKeepAlive(const HttpHeaders &headers)
{
    const auto value = findHeader(headers, "Keep-Alive");
    constexpr std::string_view Name = "timeout=";
    const std::size_t position = value ? value->find(Name) : std::string_view::npos;
    if (position == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view digits = value->substr(position + Name.size());
    std::int64_t seconds = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (parsed.ec != std::errc()) {
        return std::nullopt;
    }
    return framework::Milliseconds(seconds * MillisecondsPerSecond);
}

} // namespace

ClientConnection::ClientConnection(PooledHttpClient &client, framework::Endpoint endpoint)
    : m_client(client), m_endpoint(std::move(endpoint))
{ }

ClientConnection::~ClientConnection() = default;

void ClientConnection::begin(ClientCall &call, std::string request, bool bodiless,
                             framework::Milliseconds acceptanceWait)
{
    m_call = &call;
    m_isIdle = false;
    m_isWritten = false;
    m_acceptanceWait = acceptanceWait;
    m_bodiless = bodiless;
    m_request = std::move(request);
    m_requestSize = m_request.size();
    m_parser = std::make_unique<ResponseParser>(bodiless);
    m_headDelivered = false;
    m_isMalformed = false;
    m_partSize = MaxPartBytes;
    m_flow = Flow::Running;
    m_unacknowledged.reset();
    m_timer.reset();
    if (m_connected) {
        sendRequest();
        return;
    }
    connect();
}

void ClientConnection::connect()
{
    const HttpClientOptions &options = m_client.options();
    m_socket = std::make_unique<network::BufferedSocket>(m_client.loop().base(), *this);
    const bool begun =
        m_socket->connect(m_endpoint.address.c_str(), m_endpoint.port, options.acknowledgeTimeout);
    const framework::Milliseconds limit =
        begun ? options.connectTimeout : framework::Milliseconds(0);
    m_timer = m_client.loop().callAfter(limit, [this] { finish(false); });
}

void ClientConnection::onConnected()
{
    m_connected = true;
    m_connectedAt = m_client.now();
    m_timer.reset();
    if (m_acceptanceWait <= framework::Milliseconds(0)) {
        sendRequest();
        return;
    }
    m_timer = m_client.loop().callAfter(m_acceptanceWait, [this] {
        m_timer.reset();
        sendRequest();
    });
}

void ClientConnection::sendRequest()
{
    m_isWritten = true;
    m_socket->write(std::exchange(m_request, {}));
}

bool ClientConnection::hasSent() const
{
    return m_isWritten && m_socket->unsent() < m_requestSize;
}

void ClientConnection::onReadable()
{
    m_hasReceived = true;
    if (m_call == nullptr || !m_isWritten) {
        // Bytes that no request asked for make whatever follows on this connection doubtful.
        finish(false);
        return;
    }
    readResponse();
}

void ClientConnection::readResponse()
{
    while (!m_closed && m_call != nullptr && m_flow == Flow::Running && readPart()) { }
}

bool ClientConnection::readPart()
{
    const std::string_view input = m_socket->input();
    if (input.empty()) {
        return false;
    }
    const std::string_view part = input.substr(0, m_partSize);
    const bool isAll = part.size() == input.size();
    std::size_t taken = 0;
    const ResponseParser::State state = m_parser->feed(part, taken);
    const bool isStuck = taken == 0 && isAll && m_socket->isInputFull();
    m_socket->consume(taken);
    if (!deliver()) {
        return false;
    }
    if (state == ResponseParser::State::NeedMore && !isStuck) {
        if (taken > 0) {
            m_partSize = MaxPartBytes;
        } else if (!isAll) {
            m_partSize *= 2;
        }
        return !isAll;
    }
    const bool complete = state == ResponseParser::State::Complete;
    m_isMalformed = !complete;
    if (m_flow != Flow::Running) {
        m_completeAfterPause = complete;
        return false;
    }
    finish(complete);
    return false;
}

void ClientConnection::pause()
{
    m_flow = Flow::Paused;
    m_resumeTimer.reset();
    if (m_connected) {
        m_socket->watchPeerClose();
    }
}

void ClientConnection::resume()
{
    if (m_flow != Flow::Paused) {
        return;
    }
    m_flow = Flow::Resuming;
    m_resumeTimer = m_client.loop().callAfter(framework::Milliseconds(0), [this] { afterPause(); });
}

void ClientConnection::afterPause()
{
    m_flow = Flow::Running;
    if (const auto complete = std::exchange(m_completeAfterPause, std::nullopt)) {
        finish(*complete);
        return;
    }
    readResponse();
    if (m_closedInOrder && !m_closed && m_call != nullptr && m_flow == Flow::Running) {
        onClosed(*m_closedInOrder);
    }
}

void ClientConnection::onPeerClosing()
{
    if (m_call != nullptr && m_flow != Flow::Running) {
        m_call->serverClosing();
    }
}

/// \return whether the call is still there
bool ClientConnection::deliver()
{
    if (!m_parser->hasHead()) {
        return true;
    }
    if (!m_headDelivered) {
        m_headDelivered = true;
        m_call->head(m_parser->head());
    }
    const std::string body = m_parser->takeBody();
    if (m_call != nullptr && !body.empty()) {
        m_call->data(body);
    }
    return m_call != nullptr;
}

void ClientConnection::onClosed(bool inOrder)
{
    m_isReset = m_socket->wasReset();
    m_isEndedByServer = m_connected || m_isReset;
    if (m_call != nullptr && m_flow != Flow::Running) {
        // The end comes after what is still to be handed on.
        m_closedInOrder = inOrder;
        m_call->serverClosing();
        return;
    }
    if (m_call == nullptr || !m_connected || !inOrder || !m_parser->hasHead()) {
        finish(false);
    } else if (m_parser->head().framed) {
        endWithConnection();
    } else {
        awaitAcknowledgement();
    }
}

void ClientConnection::awaitAcknowledgement()
{
    if (m_socket->checkFailure()) {
        finish(false);
        return;
    }
    const std::size_t missing = m_socket->unacknowledged();
    if (missing == 0) {
        endWithConnection();
        return;
    }
    const framework::TimePoint now = m_client.now();
    if (!m_unacknowledged || missing < *m_unacknowledged) {
        m_unacknowledged = missing;
        m_acknowledgedAt = now;
    }
    if (now - m_acknowledgedAt >= AcknowledgementWait) {
        finish(false);
        return;
    }
    m_timer = m_client.loop().callAfter(AcknowledgementCheckInterval, [this] { onClosed(true); });
}

void ClientConnection::endWithConnection()
{
    const bool complete = m_parser->feedEnd() == ResponseParser::State::Complete;
    if (deliver()) {
        finish(complete);
    }
}

void ClientConnection::finish(bool complete)
{
    ClientCall *call = std::exchange(m_call, nullptr);
    const bool skipped = complete && call != nullptr && call->skipsResponse();
    if (skipped && m_parser->keepAlive() && m_parser->head().framed) {
        m_call = call;
        m_parser = std::make_unique<ResponseParser>(m_bodiless);
        m_headDelivered = false;
        call->awaitNextResponse();
        onReadable();
        return;
    }
    const HttpEnd incomplete = incompleteEnd();
    const bool isOwn = complete && !skipped && (call == nullptr || call->isOwnResponse());
    const bool reusable = isOwn && m_parser->keepAlive() && m_parser->head().framed
        && m_socket->unsent() == 0 && m_socket->input().empty() && !m_closedInOrder;
    if (reusable) {
        const auto stated = statedKeepAlive(m_parser->head().headers);
        m_client.release(*this, stated);
    } else {
        close();
    }
    if (call != nullptr) {
        call->end(complete && !skipped ? HttpEnd::Complete : incomplete);
    }
}

/// A connection that was idle and is found closed has not failed either: the server may close it
/// at any time.
bool ClientConnection::isRejected() const
{
    if (!m_isEndedByServer) {
        return false;
    }
    const bool isNew = m_client.now() - m_connectedAt <= RejectionWindow;
    return !hasSent() || (m_isReset && isNew && !m_hasReceived);
}

HttpEnd ClientConnection::incompleteEnd() const
{
    const bool sent = hasSent();
    if (isRejected()) {
        return sent ? HttpEnd::RejectedAfterSend : HttpEnd::Rejected;
    }
    if (!sent) {
        return HttpEnd::NotSent;
    }
    return m_isMalformed ? HttpEnd::Malformed : HttpEnd::Broken;
}

ConnectionClose ClientConnection::closeState() const
{
    if (m_isIdle) {
        return ConnectionClose::Idle;
    }
    return isRejected() && !m_hasReceived ? ConnectionClose::Rejected : ConnectionClose::InUse;
}

void ClientConnection::becomeIdle(framework::TimePoint now, framework::Milliseconds keepFor)
{
    m_idleSince = now;
    m_isIdle = true;
    m_timer = m_client.loop().callAfter(keepFor, [this] { finish(false); });
}

void ClientConnection::cancel()
{
    m_call = nullptr;
    m_timer.reset();
    close();
}

/// The connection is destroyed only after the callbacks under way have returned. Until then it must
/// not send the request: its outcome has been reported, or nobody waits for it.
void ClientConnection::close()
{
    m_closed = true;
    // It may be due in the same turn of the loop and would write the request.
    m_timer.reset();
    m_resumeTimer.reset();
    const ConnectionClose state = closeState();
    m_socket->detach();
    m_client.discard(*this, state);
}

} // namespace lavendertally::http
