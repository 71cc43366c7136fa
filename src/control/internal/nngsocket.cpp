#include "control/internal/nngsocket.h"

#include <event2/event.h>

#include <utility>

namespace lavendertally::control {

NngSocket::NngSocket(int (*open)(nng_socket *))
{
    open(&m_socket);
}

NngSocket::~NngSocket()
{
    if (m_event != nullptr) {
        event_free(m_event);
    }
    nng_close(m_socket);
}

void NngSocket::onReadable(event_base *base, std::function<void()> callback)
{
    int descriptor = -1;
    nng_socket_get_int(m_socket, NNG_OPT_RECVFD, &descriptor);
    m_callback = std::move(callback);
    m_event = event_new(base, descriptor, EV_READ | EV_PERSIST, &NngSocket::fire, this);
    event_add(m_event, nullptr);
}

void NngSocket::fire(int /*descriptor*/, short /*flags*/, void *self)
{
    // The callback may destroy this object, so a copy of it runs.
    const std::function<void()> callback = static_cast<NngSocket *>(self)->m_callback;
    callback();
}

} // namespace lavendertally::control
