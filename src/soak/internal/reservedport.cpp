#include "soak/internal/reservedport.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace lavendertally::soak {

ReservedPort::ReservedPort() : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int reuse = 1;
    setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    // Without a free port the process that needs it cannot listen, which the run reports.
    static_cast<void>(bind(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof address));
    socklen_t length = sizeof address;
    getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &length);
    m_endpoint = {"127.0.0.1", ntohs(address.sin_port)};
}

ReservedPort::~ReservedPort()
{
    close(m_socket);
}

} // namespace lavendertally::soak
