#pragma once

#include "framework/result.h"
#include "framework/types/endpoint.h"

#include <functional>

struct event_base;
struct evconnlistener;
struct sockaddr;

namespace lavendertally::peers {

/// Accepts TCP connections from other daemons.
class PeerListener
{
public:
    /// \param accepted receives each accepted socket and its ownership
    PeerListener(event_base *base, std::function<void(int fd)> accepted);
    ~PeerListener();
    PeerListener(const PeerListener &) = delete;
    PeerListener &operator=(const PeerListener &) = delete;

    /// \return the endpoint with the port that was bound, or PeerError
    framework::Result<framework::Endpoint> listen(const framework::Endpoint &endpoint);

private:
    static void accepted(evconnlistener *listener, int fd, sockaddr *address, int length,
                         void *self);

    event_base *m_base;
    std::function<void(int)> m_accepted;
    evconnlistener *m_listener = nullptr;
};

} // namespace lavendertally::peers
