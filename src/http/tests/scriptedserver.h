#pragma once

#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "framework/types/endpoint.h"

#include <event2/event.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lavendertally::http {

/// Server that answers with scripted bytes, right or wrong.
class ScriptedServer
{
public:
    struct Connection
    {
        int fd = -1;
        std::string received;
        event *readable = nullptr;
        ScriptedServer *server = nullptr;
        std::size_t number = 0;
    };
    using Handler = std::function<void(Connection &)>;

    /// \param handler called whenever bytes have arrived on a connection
    ScriptedServer(framework::IEventLoop &loop, Handler handler)
        : m_loop(loop), m_handler(std::move(handler)),
          m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(m_fd, reinterpret_cast<sockaddr *>(&address), sizeof address);
        listen(m_fd, 16);
        socklen_t length = sizeof address;
        getsockname(m_fd, reinterpret_cast<sockaddr *>(&address), &length);
        m_port = ntohs(address.sin_port);
        fcntl(m_fd, F_SETFL, O_NONBLOCK);
        m_accept =
            event_new(loop.base(), m_fd, EV_READ | EV_PERSIST, &ScriptedServer::accepted, this);
        event_add(m_accept, nullptr);
    }
    ~ScriptedServer()
    {
        for (const auto &connection : m_connections) {
            end(*connection);
        }
        stopListening();
    }
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    framework::Endpoint endpoint() const { return {"127.0.0.1", m_port}; }
    std::size_t connections() const { return m_connections.size(); }
    Connection &connection(std::size_t number) { return *m_connections[number]; }
    /// Refuses new connections from now on; those that stand stay.
    void stopListening()
    {
        if (m_accept != nullptr) {
            event_free(std::exchange(m_accept, nullptr));
            close(m_fd);
        }
    }

    /// \param handler called for each connection that is accepted; may end it
    void onAccept(Handler handler) { m_acceptHandler = std::move(handler); }
    std::size_t openConnections() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_connections.begin(), m_connections.end(),
                          [](const auto &connection) { return connection->fd >= 0; }));
    }

    static void send(Connection &connection, std::string_view bytes)
    {
        [[maybe_unused]] const auto sent =
            ::send(connection.fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    /// Closes in order.
    static void end(Connection &connection)
    {
        if (connection.fd >= 0) {
            event_free(connection.readable);
            close(connection.fd);
            connection.fd = -1;
        }
    }
    /// Closes with a reset.
    static void reset(Connection &connection)
    {
        const linger now{1, 0};
        setsockopt(connection.fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        end(connection);
    }

private:
    static void accepted(int fd, short /*what*/, void *self)
    {
        auto *server = static_cast<ScriptedServer *>(self);
        const int client = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) {
            return;
        }
        fcntl(client, F_SETFL, O_NONBLOCK);
        auto connection = std::make_unique<Connection>();
        connection->fd = client;
        connection->server = server;
        connection->number = server->m_connections.size();
        connection->readable = event_new(server->m_loop.base(), client, EV_READ | EV_PERSIST,
                                         &ScriptedServer::readable, connection.get());
        event_add(connection->readable, nullptr);
        server->m_connections.push_back(std::move(connection));
        if (server->m_acceptHandler) {
            server->m_acceptHandler(*server->m_connections.back());
        }
    }
    static void readable(int fd, short /*what*/, void *argument)
    {
        auto *connection = static_cast<Connection *>(argument);
        std::array<char, 4096> buffer{};
        const auto count = recv(fd, buffer.data(), buffer.size(), 0);
        if (count <= 0) {
            end(*connection);
            return;
        }
        connection->received.append(buffer.data(), static_cast<std::size_t>(count));
        connection->server->m_handler(*connection);
    }

    framework::IEventLoop &m_loop;
    Handler m_handler;
    Handler m_acceptHandler;
    int m_fd;
    std::uint16_t m_port = 0;
    event *m_accept = nullptr;
    std::vector<std::unique_ptr<Connection>> m_connections;
};

} // namespace lavendertally::http
