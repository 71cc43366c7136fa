#pragma once

#include "framework/types/milliseconds.h"

#include <cstddef>
#include <string_view>

struct bufferevent;
struct event;
struct event_base;

namespace lavendertally::network {

class IBufferedSocketObserver;

/// Non-blocking TCP socket with input and output buffers, driven by a libevent event loop.
class BufferedSocket
{
public:
    /// Takes ownership of a connected socket.
    /// \param observer must outlive this socket
    BufferedSocket(event_base *base, int fd, IBufferedSocketObserver &observer);
    /// Creates an unconnected socket; see connect().
    /// \param observer must outlive this socket
    BufferedSocket(event_base *base, IBufferedSocketObserver &observer);
    ~BufferedSocket();
    BufferedSocket(const BufferedSocket &) = delete;
    BufferedSocket &operator=(const BufferedSocket &) = delete;

    /// Starts connecting; the observer is notified of the outcome.
    /// \param address IPv4 address in dotted decimal notation
    /// \param acknowledgeTimeout TCP_USER_TIMEOUT; zero keeps the kernel default
    /// \return false if the address is invalid or the connection attempt could not be started
    bool connect(const char *address, unsigned short port,
                 framework::Milliseconds acknowledgeTimeout);

    /// \return all unread input; valid until the next call on this socket
    std::string_view input();
    /// \return whether input has arrived that was not consumed, also if the loop has not read it
    /// yet
    bool hasUnreadInput() const;
    /// \return whether no further input is read until some is consumed
    bool isInputFull() const;
    /// Reads no further input while \p size bytes are unread.
    void limitInput(std::size_t size);
    /// Sets the bound on unread input back to its default.
    void liftInputLimit();
    /// \return bytes of memory that unread input takes, at most
    std::size_t inputMemory() const;
    /// Has the observer told once when the peer closes its sending side, even while the input is
    /// full and is not read.
    void watchPeerClose();
    /// Removes \p count bytes from the front of the input.
    void consume(std::size_t count);

    /// Passes as much as possible to the kernel at once and buffers the rest.
    void write(std::string_view data);
    /// \return number of buffered bytes not yet passed to the kernel
    std::size_t unsent() const;
    /// \return number of bytes written that the peer has not acknowledged, those not yet passed to
    /// the kernel among them; only these if the kernel does not tell
    std::size_t unacknowledged() const;
    /// Asks the kernel for a failure of the connection. Once the input has ended, it reports none
    /// by itself unless something is to be sent.
    /// \return whether the connection has failed
    bool checkFailure();
    /// \return whether the connection has ended with a reset by the peer, which may come before the
    /// observer is told that it is established
    bool wasReset() const { return m_wasReset; }
    /// Ends all notifications, that of a pending connection attempt included. The connection is
    /// closed when this object is destroyed.
    void detach();
    /// Makes the connection end with a reset when this object is destroyed; what the peer has not
    /// received by then may be lost.
    void resetOnClose();
    /// Shuts down the sending side once the output buffer is empty.
    void shutDownSending();

private:
    void noteFailure(int error);

    static void handleReadable(bufferevent *bufferEvent, void *self);
    static void handleFlushed(bufferevent *bufferEvent, void *self);
    static void handleEvent(bufferevent *bufferEvent, short flags, void *self);
    static void handlePeerClose(int fd, short flags, void *self);

    IBufferedSocketObserver &m_observer;
    bufferevent *m_bufferEvent;
    event *m_peerCloseEvent = nullptr;
    std::size_t m_maxInput;
    bool m_connected = false;
    bool m_hasFailed = false;
    bool m_wasReset = false;
    bool m_shutDownWhenFlushed = false;
};

} // namespace lavendertally::network
