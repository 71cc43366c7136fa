#pragma once

#include "framework/result.h"
#include "framework/types/endpoint.h"

#include <functional>

struct event_base;
struct evconnlistener;
struct sockaddr;

namespace lavendertally::peers {

/// Accepts TCP connections of other daemons.
class PeerListener
{
public:
    /// \param accepted gets each accepted socket
    PeerListener(event_base *base, std::function<void(int fd)> accepted);
    ~PeerListener();
    PeerListener(const PeerListener &) = delete;
    PeerListener &operator=(const PeerListener &) = delete;

    /// \return the endpoint with its real port, or PeerError
    framework::Result<framework::Endpoint> listen(const framework::Endpoint &endpoint);

private:
    static void accepted(evconnlistener *listener, int fd, sockaddr *address, int length,
                         void *self);

    event_base *m_base;
    std::function<void(int)> m_accepted;
    evconnlistener *m_listener = nullptr;
};

} // namespace lavendertally::peers
