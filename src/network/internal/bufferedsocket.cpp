#include "network/bufferedsocket.h"

#include "network/ibufferedsocketobserver.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <arpa/inet.h>
#include <cerrno>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <bit>

namespace lavendertally::network {

namespace {

/// Reading from the socket pauses while this much input is unread. Holds the largest head of a
/// response, which cannot be taken in parts.
constexpr std::size_t MaxUnreadInputBytes = 80 * 1024;

/// What libevent reads at once, and its overhead for a piece of a buffer.
constexpr std::size_t ReadBytes = 4096;
constexpr std::size_t ChainHeadBytes = 64;

/// \return whether a call that failed with \p error has not failed for good
bool mayTryAgain(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

void setTcpOption(int fd, int option, int value)
{
    setsockopt(fd, IPPROTO_TCP, option, &value, sizeof value);
}

} // namespace

BufferedSocket::BufferedSocket(event_base *base, int fd, IBufferedSocketObserver &observer)
    : m_observer(observer), m_bufferEvent(bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE)),
      m_maxInput(MaxUnreadInputBytes), m_connected(true)
{
    // Streamed chunks are small; Nagle's algorithm would hold them back until earlier ones are
    // acknowledged.
    setTcpOption(fd, TCP_NODELAY, 1);
    bufferevent_setcb(m_bufferEvent, &BufferedSocket::handleReadable,
                      &BufferedSocket::handleFlushed, &BufferedSocket::handleEvent, this);
    bufferevent_setwatermark(m_bufferEvent, EV_READ, 0, MaxUnreadInputBytes);
    bufferevent_enable(m_bufferEvent, EV_READ | EV_WRITE);
}

BufferedSocket::BufferedSocket(event_base *base, IBufferedSocketObserver &observer)
    : m_observer(observer), m_bufferEvent(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE)),
      m_maxInput(MaxUnreadInputBytes)
{
    bufferevent_setcb(m_bufferEvent, &BufferedSocket::handleReadable,
                      &BufferedSocket::handleFlushed, &BufferedSocket::handleEvent, this);
    bufferevent_setwatermark(m_bufferEvent, EV_READ, 0, MaxUnreadInputBytes);
    bufferevent_enable(m_bufferEvent, EV_READ | EV_WRITE);
}

BufferedSocket::~BufferedSocket()
{
    if (m_peerCloseEvent != nullptr) {
        event_free(m_peerCloseEvent);
    }
    bufferevent_free(m_bufferEvent);
}

bool BufferedSocket::connect(const char *address, unsigned short port,
                             framework::Milliseconds acknowledgeTimeout)
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(port);
    if (inet_pton(AF_INET, address, &target.sin_addr) != 1) {
        return false;
    }
    if (bufferevent_socket_connect(m_bufferEvent, reinterpret_cast<sockaddr *>(&target),
                                   sizeof target)
        != 0) {
        return false;
    }
    const int fd = bufferevent_getfd(m_bufferEvent);
    setTcpOption(fd, TCP_NODELAY, 1);
    if (acknowledgeTimeout.value() > 0) {
        setTcpOption(fd, TCP_USER_TIMEOUT, static_cast<int>(acknowledgeTimeout.value()));
    }
    return true;
}

std::string_view BufferedSocket::input()
{
    evbuffer *buffer = bufferevent_get_input(m_bufferEvent);
    const std::size_t length = evbuffer_get_length(buffer);
    if (length == 0) {
        return {};
    }
    const auto *bytes = reinterpret_cast<const char *>(evbuffer_pullup(buffer, -1));
    return {bytes, length};
}

bool BufferedSocket::hasUnreadInput() const
{
    char byte = 0;
    return evbuffer_get_length(bufferevent_get_input(m_bufferEvent)) > 0
        || recv(bufferevent_getfd(m_bufferEvent), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool BufferedSocket::isInputFull() const
{
    return evbuffer_get_length(bufferevent_get_input(m_bufferEvent)) >= m_maxInput;
}

void BufferedSocket::limitInput(std::size_t size)
{
    m_maxInput = size;
    bufferevent_setwatermark(m_bufferEvent, EV_READ, 0, size);
}

void BufferedSocket::liftInputLimit()
{
    limitInput(MaxUnreadInputBytes);
}

std::size_t BufferedSocket::inputMemory() const
{
    const std::size_t length = evbuffer_get_length(bufferevent_get_input(m_bufferEvent));
    // The buffer takes powers of two for what input() has joined, and one read on top.
    return length == 0 ? 0 : std::bit_ceil(length + ChainHeadBytes) + ReadBytes;
}

void BufferedSocket::watchPeerClose()
{
    if (m_peerCloseEvent != nullptr) {
        return;
    }
    m_peerCloseEvent =
        event_new(bufferevent_get_base(m_bufferEvent), bufferevent_getfd(m_bufferEvent), EV_CLOSED,
                  &BufferedSocket::handlePeerClose, this);
    event_add(m_peerCloseEvent, nullptr);
}

void BufferedSocket::consume(std::size_t count)
{
    evbuffer_drain(bufferevent_get_input(m_bufferEvent), count);
}

void BufferedSocket::write(std::string_view data)
{
    if (m_connected && unsent() == 0) {
        const int fd = bufferevent_getfd(m_bufferEvent);
        const ssize_t sent = send(fd, data.data(), data.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent > 0) {
            data.remove_prefix(static_cast<std::size_t>(sent));
        } else if (sent < 0 && !mayTryAgain(errno)) {
            noteFailure(errno);
        }
    }
    if (!data.empty()) {
        bufferevent_write(m_bufferEvent, data.data(), data.size());
    }
}

std::size_t BufferedSocket::unsent() const
{
    return evbuffer_get_length(bufferevent_get_output(m_bufferEvent));
}

std::size_t BufferedSocket::unacknowledged() const
{
    int inKernel = 0;
    if (ioctl(bufferevent_getfd(m_bufferEvent), SIOCOUTQ, &inKernel) != 0 || inKernel < 0) {
        inKernel = 0;
    }
    return unsent() + static_cast<std::size_t>(inKernel);
}

bool BufferedSocket::checkFailure()
{
    int error = 0;
    socklen_t size = sizeof error;
    const int fd = bufferevent_getfd(m_bufferEvent);
    if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error != 0) {
        noteFailure(error);
    }
    return m_hasFailed;
}

void BufferedSocket::detach()
{
    if (m_peerCloseEvent != nullptr) {
        event_del(m_peerCloseEvent);
    }
    bufferevent_disable(m_bufferEvent, EV_READ | EV_WRITE);
    bufferevent_setcb(m_bufferEvent, nullptr, nullptr, nullptr, nullptr);
}

void BufferedSocket::resetOnClose()
{
    const linger atOnce{1, 0};
    setsockopt(bufferevent_getfd(m_bufferEvent), SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
}

void BufferedSocket::shutDownSending()
{
    m_shutDownWhenFlushed = true;
    if (unsent() == 0) {
        ::shutdown(bufferevent_getfd(m_bufferEvent), SHUT_WR);
    }
}

/// The system reports an error of the connection to one call only. To later ones, the input seems
/// to end in order.
void BufferedSocket::noteFailure(int error)
{
    m_hasFailed = true;
    m_wasReset = m_wasReset || error == ECONNRESET || error == EPIPE;
}

void BufferedSocket::handleReadable(bufferevent * /*bufferEvent*/, void *self)
{
    static_cast<BufferedSocket *>(self)->m_observer.onReadable();
}

void BufferedSocket::handleFlushed(bufferevent *bufferEvent, void *self)
{
    auto *socket = static_cast<BufferedSocket *>(self);
    if (socket->m_shutDownWhenFlushed) {
        ::shutdown(bufferevent_getfd(bufferEvent), SHUT_WR);
    }
    socket->m_observer.onFlushed();
}

void BufferedSocket::handlePeerClose(int /*fd*/, short /*flags*/, void *self)
{
    static_cast<BufferedSocket *>(self)->m_observer.onPeerClosing();
}

void BufferedSocket::handleEvent(bufferevent * /*bufferEvent*/, short flags, void *self)
{
    auto *socket = static_cast<BufferedSocket *>(self);
    if ((flags & BEV_EVENT_CONNECTED) != 0) {
        socket->m_connected = true;
        socket->m_observer.onConnected();
        return;
    }
    constexpr short EndedFlags = BEV_EVENT_EOF | BEV_EVENT_ERROR;
    if ((flags & EndedFlags) != 0) {
        if ((flags & BEV_EVENT_ERROR) != 0) {
            socket->noteFailure(EVUTIL_SOCKET_ERROR());
        }
        socket->m_observer.onClosed(!socket->m_hasFailed);
    }
}

} // namespace lavendertally::network
