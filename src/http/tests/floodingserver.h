#pragma once

#include "framework/ieventloop.h"
#include "http/tests/scriptedserver.h"

#include <event2/event.h>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace lavendertally::http {

/// Server that answers each request with a head and a long text, sent as fast as it is taken.
class FloodingServer
{
public:
    /// What is sent in answer to a request.
    struct Answer
    {
        std::string text;
        /// Whether the end of the text, from \c repeatFrom on, is sent on and on.
        bool endless = false;
        std::size_t repeatFrom = 0;
        /// Called once the system has taken the whole text.
        std::function<void(ScriptedServer::Connection &)> taken;
    };
    /// \return the answer to a request that was received as a whole
    using Script = std::function<Answer(const std::string &request)>;

    FloodingServer(framework::IEventLoop &loop, Script script)
        : m_loop(loop), m_script(std::move(script)),
          m_server(loop, [this](ScriptedServer::Connection &connection) { answer(connection); })
    { }
    FloodingServer(const FloodingServer &) = delete;
    FloodingServer &operator=(const FloodingServer &) = delete;

    framework::Endpoint endpoint() const { return m_server.endpoint(); }
    /// Refuses new connections from now on.
    void stopListening() { m_server.stopListening(); }
    /// Ends connection number \p number with a reset.
    void reset(std::size_t number)
    {
        m_sending[number]->stop();
        ScriptedServer::reset(m_server.connection(number));
    }
    /// \return bytes that the system has taken on all connections
    std::size_t taken() const { return m_taken; }
    /// \return whether the client has closed its connection number \p number
    bool isClosed(std::size_t number) { return m_server.connection(number).fd < 0; }

private:
    struct Sending
    {
        Answer answer;
        std::size_t position = 0;
        event *writable = nullptr;
        ScriptedServer::Connection *connection = nullptr;
        FloodingServer *server = nullptr;
        ~Sending() { stop(); }
        void stop()
        {
            if (writable != nullptr) {
                event_free(std::exchange(writable, nullptr));
            }
        }
    };

    void answer(ScriptedServer::Connection &connection)
    {
        if (connection.received.find("\r\n\r\n") == std::string::npos) {
            return;
        }
        auto &sending = m_sending[connection.number];
        sending = std::make_unique<Sending>();
        sending->answer = m_script(std::exchange(connection.received, {}));
        sending->connection = &connection;
        sending->server = this;
        sending->writable = event_new(m_loop.base(), connection.fd, EV_WRITE | EV_PERSIST,
                                      &FloodingServer::handleWritable, sending.get());
        event_add(sending->writable, nullptr);
    }
    static void handleWritable(int fd, short /*what*/, void *argument)
    {
        auto *sending = static_cast<Sending *>(argument);
        const std::string &text = sending->answer.text;
        if (sending->connection->fd < 0) {
            sending->stop();
            return;
        }
        const auto sent = ::send(fd, text.data() + sending->position,
                                 text.size() - sending->position, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0) {
            return;
        }
        sending->server->m_taken += static_cast<std::size_t>(sent);
        sending->position += static_cast<std::size_t>(sent);
        if (sending->position < text.size()) {
            return;
        }
        if (sending->answer.endless) {
            sending->position = sending->answer.repeatFrom;
            return;
        }
        sending->stop();
        if (sending->answer.taken) {
            sending->answer.taken(*sending->connection);
        }
    }

    framework::IEventLoop &m_loop;
    Script m_script;
    std::size_t m_taken = 0;
    ScriptedServer m_server;
    std::map<std::size_t, std::unique_ptr<Sending>> m_sending;
};

} // namespace lavendertally::http
