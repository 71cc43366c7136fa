#include "peers/internal/peerlistener.h"

#include "framework/types/errorcontext.h"
#include "peers/types/peererror.h"

#include <event2/listener.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <utility>

namespace lavendertally::peers {

namespace {

constexpr int Backlog = 128;

} // namespace

PeerListener::PeerListener(event_base *base, std::function<void(int)> accepted)
    : m_base(base), m_accepted(std::move(accepted))
{ }

PeerListener::~PeerListener()
{
    if (m_listener != nullptr) {
        evconnlistener_free(m_listener);
    }
}

framework::Result<framework::Endpoint> PeerListener::listen(const framework::Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    if (inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr) == 1) {
        m_listener = evconnlistener_new_bind(
            m_base, &PeerListener::accepted, this,
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, Backlog,
            reinterpret_cast<sockaddr *>(&address), sizeof address);
    }
    if (m_listener == nullptr) {
        return framework::leaf::new_error(
            PeerError::ListenFailed,
            framework::ErrorContext{"cannot listen on " + endpoint.toString()});
    }
    sockaddr_in bound{};
    socklen_t length = sizeof bound;
    getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&bound), &length);
    return framework::Endpoint{endpoint.address, ntohs(bound.sin_port)};
}

void PeerListener::accepted(evconnlistener * /*listener*/, int fd, sockaddr * /*address*/,
                            int /*length*/, void *self)
{
    static_cast<PeerListener *>(self)->m_accepted(fd);
}

} // namespace lavendertally::peers
