#pragma once

#include "framework/types/endpoint.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lavendertally::app {

/// Many connections of clients that send a lot, or stop in between, and do not read.
class ClientCrowd
{
public:
    /// What each connection sends: a head of its own, a text that all share, and afterwards nothing
    /// or one byte each time that trickle() is called.
    struct Script
    {
        std::function<std::string(std::size_t number)> head;
        std::string body;
        /// Whether a connection that the server closes is opened again.
        bool reopens = false;
        /// Bytes that the system takes for a client that does not read; zero leaves it to the
        /// system.
        int receiveBuffer = 0;
        std::string trickle = "x";
    };

    ClientCrowd(framework::Endpoint server, std::size_t size, Script script)
        : m_server(std::move(server)), m_script(std::move(script)), m_clients(size)
    { }
    ~ClientCrowd()
    {
        for (const Client &client : m_clients) {
            if (client.fd >= 0) {
                close(client.fd);
            }
        }
    }
    ClientCrowd(const ClientCrowd &) = delete;
    ClientCrowd &operator=(const ClientCrowd &) = delete;

    /// Opens what is not open and sends what the system takes.
    /// \return whether each connection has been opened, and has sent its text or was ended by the
    /// server
    bool pump()
    {
        bool isDone = true;
        for (Client &client : m_clients) {
            if (client.fd < 0 && (!client.wasEnded || m_script.reopens)) {
                open(client);
            }
            send(client);
            isDone = isDone && (client.wasEnded || client.position == length(client));
        }
        return isDone;
    }
    /// Sends one more byte on each connection that has sent its text.
    void trickle()
    {
        for (Client &client : m_clients) {
            if (client.fd >= 0 && client.position == length(client)) {
                sendBytes(client, m_script.trickle);
            }
        }
    }

private:
    struct Client
    {
        int fd = -1;
        std::string head;
        std::size_t position = 0;
        bool wasEnded = false;
    };

    std::size_t length(const Client &client) const
    {
        return client.head.size() + m_script.body.size();
    }
    void open(Client &client)
    {
        client.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        if (m_script.receiveBuffer > 0) {
            setsockopt(client.fd, SOL_SOCKET, SO_RCVBUF, &m_script.receiveBuffer,
                       sizeof m_script.receiveBuffer);
        }
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(m_server.port);
        inet_pton(AF_INET, m_server.address.c_str(), &address.sin_addr);
        connect(client.fd, reinterpret_cast<sockaddr *>(&address), sizeof address);
        client.head = m_script.head(m_nextNumber++);
        client.position = 0;
    }
    void send(Client &client)
    {
        while (client.fd >= 0 && client.position < length(client)) {
            const std::string_view rest = client.position < client.head.size()
                ? std::string_view(client.head).substr(client.position)
                : std::string_view(m_script.body).substr(client.position - client.head.size());
            const std::size_t sent = sendBytes(client, rest);
            if (sent == 0) {
                return;
            }
            client.position += sent;
        }
        char byte = 0;
        if (client.fd >= 0 && m_script.reopens && recv(client.fd, &byte, 1, 0) >= 0) {
            // The server has refused this client, which tries again.
            end(client);
        }
    }
    static std::size_t sendBytes(Client &client, std::string_view bytes)
    {
        const auto sent = ::send(client.fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent > 0) {
            return static_cast<std::size_t>(sent);
        }
        const bool isPending = errno == EAGAIN || errno == ENOTCONN || errno == EINPROGRESS;
        if (sent < 0 && !isPending) {
            end(client);
        }
        return 0;
    }
    static void end(Client &client)
    {
        close(std::exchange(client.fd, -1));
        client.wasEnded = true;
    }

    framework::Endpoint m_server;
    Script m_script;
    std::size_t m_nextNumber = 0;
    std::vector<Client> m_clients;
};

} // namespace lavendertally::app
