#pragma once

#include "framework/types/milliseconds.h"

#include <cstddef>
#include <string_view>

struct bufferevent;
struct event_base;

namespace lavendertally::network {

class IBufferedSocketObserver;

/// TCP socket with buffers on the event loop.
class BufferedSocket
{
public:
    /// Takes over a connected socket.
    BufferedSocket(event_base *base, int fd, IBufferedSocketObserver &observer);
    /// Makes an unconnected socket; see connect().
    BufferedSocket(event_base *base, IBufferedSocketObserver &observer);
    ~BufferedSocket();
    BufferedSocket(const BufferedSocket &) = delete;
    BufferedSocket &operator=(const BufferedSocket &) = delete;

    /// \param address IP number
    /// \param acknowledgeTimeout TCP_USER_TIMEOUT; zero leaves it to the kernel
    /// \return false if the connection cannot even be begun
    bool connect(const char *address, unsigned short port,
                 framework::Milliseconds acknowledgeTimeout);

    /// \return all unread input; valid until the next call of this class
    std::string_view input();
    void consume(std::size_t count);

    /// Sends at once what the kernel takes and keeps the rest.
    void write(std::string_view data);
    std::size_t unsent() const;
    /// Closes the sending side once everything is sent.
    void shutDownSending();

private:
    static void readable(bufferevent *event, void *self);
    static void writable(bufferevent *event, void *self);
    static void happened(bufferevent *event, short what, void *self);

    IBufferedSocketObserver &m_observer;
    bufferevent *m_event;
    bool m_connected = false;
    bool m_shutDown = false;
};

} // namespace lavendertally::network
