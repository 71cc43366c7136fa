#pragma once

#include "framework/types/endpoint.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <string>
#include <string_view>

namespace lavendertally::http {

/// Client's socket that sends bytes as they are, without blocking the loop of the test.
class RawSocket
{
public:
    /// \param receiveBuffer bytes that the system takes for a client that does not read; zero
    /// leaves it to the system
    explicit RawSocket(const framework::Endpoint &endpoint, int receiveBuffer = 0)
        : m_fd(socket(AF_INET, SOCK_STREAM, 0))
    {
        if (receiveBuffer > 0) {
            setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
        }
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
        m_connected = connect(m_fd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
        fcntl(m_fd, F_SETFL, O_NONBLOCK);
    }
    ~RawSocket() { close(m_fd); }
    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;

    bool isConnected() const { return m_connected; }
    void send(std::string_view bytes) const
    {
        [[maybe_unused]] const auto sent = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    /// Reads what has arrived.
    /// \return everything received so far
    const std::string &received()
    {
        std::array<char, 4096> buffer{};
        while (true) {
            const auto count = recv(m_fd, buffer.data(), buffer.size(), 0);
            if (count == 0) {
                m_closed = true;
            }
            if (count < 0 && errno == ECONNRESET) {
                m_reset = true;
            }
            if (count <= 0) {
                return m_received;
            }
            m_received.append(buffer.data(), static_cast<std::size_t>(count));
        }
    }
    bool isClosed()
    {
        received();
        return m_closed;
    }
    bool isReset()
    {
        received();
        return m_reset;
    }

private:
    int m_fd;
    bool m_connected = false;
    bool m_closed = false;
    bool m_reset = false;
    std::string m_received;
};

} // namespace lavendertally::http
