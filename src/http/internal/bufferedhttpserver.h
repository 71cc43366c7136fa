#pragma once

#include "framework/types/timepoint.h"
#include "http/ihttpserver.h"

#include <unordered_map>
#include <utility>
#include <vector>

struct evconnlistener;
struct sockaddr;

namespace lavendertally::budget {
class ClientAddress;
class IResourceBudget;
} // namespace lavendertally::budget

namespace lavendertally::framework {
class IClock;
class IEventLoop;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::http {

class ServerConnection;

/// HTTP server on libevent's listener and buffered sockets.
class BufferedHttpServer final : public IHttpServer
{
public:
    /// \param budget null if clients are trusted
    BufferedHttpServer(framework::IEventLoop &loop, const HttpLimits &limits,
                       std::shared_ptr<budget::IResourceBudget> budget);
    ~BufferedHttpServer() override;
    BufferedHttpServer(const BufferedHttpServer &) = delete;
    BufferedHttpServer &operator=(const BufferedHttpServer &) = delete;

    void setHandler(Handler handler) override;
    void onRefused(std::function<void(int)> refused) override { m_refused = std::move(refused); }
    void setLimits(const HttpLimits &limits) override { m_limits = limits; }
    framework::Result<framework::Endpoint> listen(const framework::Endpoint &endpoint) override;
    void stopListening() override;
    void closeAfterResponses() override { m_closing = true; }
    void closeIdleConnections() override;
    std::size_t connectionsInUse() const override;
    std::size_t unfinishedExchanges() const override { return *m_unfinished; }

    framework::IEventLoop &loop() { return m_loop; }
    const HttpLimits &limits() const { return m_limits; }
    bool isClosing() const { return m_closing; }
    std::shared_ptr<std::size_t> unfinished() const { return m_unfinished; }
    const std::shared_ptr<budget::IResourceBudget> &budget() const { return m_budget; }
    framework::TimePoint now() const;
    void handle(const std::shared_ptr<IHttpExchange> &exchange);
    void noteRefusal(int status) const;
    /// Has clients that do not read give way, later, if answers have exceeded the budget.
    void relieveBudget();
    /// Destroys \p connection once the callbacks under way have returned.
    void discard(ServerConnection &connection);

private:
    static void accepted(evconnlistener *listener, int fd, sockaddr *address, int length,
                         void *self);
    void accept(int fd, budget::ClientAddress address);
    /// Leaves connections to wait at the listener for a while.
    void pauseAccepting(framework::Milliseconds pause);

    framework::IEventLoop &m_loop;
    HttpLimits m_limits;
    std::unique_ptr<framework::IClock> m_clock;
    std::shared_ptr<budget::IResourceBudget> m_budget;
    Handler m_handler;
    std::function<void(int)> m_refused;
    evconnlistener *m_listener = nullptr;
    bool m_closing = false;
    /// Connections that were accepted since the loop last closed those that gave way.
    int m_acceptedAtOnce = 0;
    std::unique_ptr<framework::ITimer> m_acceptTimer;
    std::unique_ptr<framework::ITimer> m_reliefTimer;
    std::shared_ptr<std::size_t> m_unfinished = std::make_shared<std::size_t>(0);
    std::unordered_map<ServerConnection *, std::unique_ptr<ServerConnection>> m_connections;
    std::vector<std::unique_ptr<ServerConnection>> m_discarded;
    std::unique_ptr<framework::ITimer> m_discardTimer;
};

} // namespace lavendertally::http
