#pragma once

#include <nng/nng.h>

#include <functional>
#include <string>

struct event;
struct event_base;

namespace lavendertally::control {

/// Owns one nng socket and the libevent event on its receive descriptor.
class NngSocket
{
public:
    /// Opens a socket.
    /// \param open one of nng's open functions
    explicit NngSocket(int (*open)(nng_socket *));
    ~NngSocket();
    NngSocket(const NngSocket &) = delete;
    NngSocket &operator=(const NngSocket &) = delete;

    nng_socket handle() const { return m_socket; }

    /// Calls \p callback on the loop's thread while messages can be received.
    void onReadable(event_base *base, std::function<void()> callback);

private:
    static void fire(int descriptor, short flags, void *self);

    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
    event *m_event = nullptr;
    std::function<void()> m_callback;
};

} // namespace lavendertally::control
