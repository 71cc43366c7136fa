#include "http/internal/bufferedhttpserver.h"

#include "budget/budgetmodule.h"
#include "budget/iresourcebudget.h"
#include "budget/types/clientaddress.h"
#include "framework/frameworkmodule.h"
#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "framework/types/errorcontext.h"
#include "http/ihttpexchange.h"
#include "http/internal/serverconnection.h"
#include "http/types/httperror.h"

#include <event2/event.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace lavendertally::http {

namespace {

/// Connections that may wait to be accepted; a herd of clients reconnects at once after a restart.
constexpr int Backlog = 1024;

/// Connections accepted before the loop closes the descriptors of those that gave way to them. The
/// reserve of the process bears as many.
constexpr int MaxAcceptedAtOnce = 16;

/// How long new connections wait at the listener while no descriptor is left for them.
constexpr framework::Milliseconds FullPause{20};

/// How long answers may exceed the budget before clients that do not read give way.
constexpr framework::Milliseconds ReliefInterval{50};

budget::ClientAddress clientAddress(const sockaddr *address)
{
    if (address == nullptr || address->sa_family != AF_INET) {
        return {};
    }
    return budget::ClientAddress(
        ntohl(reinterpret_cast<const sockaddr_in *>(address)->sin_addr.s_addr));
}

} // namespace

BufferedHttpServer::BufferedHttpServer(framework::IEventLoop &loop, const HttpLimits &limits,
                                       std::shared_ptr<budget::IResourceBudget> budget)
    : m_loop(loop), m_limits(limits), m_clock(framework::FrameworkModule::makeSystemClock()),
      m_budget(budget ? std::move(budget) : budget::BudgetModule::makeBudget({}, *m_clock))
{ }

BufferedHttpServer::~BufferedHttpServer()
{
    if (m_listener != nullptr) {
        evconnlistener_free(m_listener);
    }
    for (auto &[address, connection] : std::exchange(m_connections, {})) {
        m_discarded.push_back(std::move(connection));
    }
    for (const auto &connection : m_discarded) {
        connection->close();
    }
}

void BufferedHttpServer::setHandler(Handler handler)
{
    m_handler = std::move(handler);
}

framework::Result<framework::Endpoint>
BufferedHttpServer::listen(const framework::Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    const bool valid = inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr) == 1;
    if (valid) {
        m_listener = evconnlistener_new_bind(
            m_loop.base(), &BufferedHttpServer::accepted, this,
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, Backlog,
            reinterpret_cast<sockaddr *>(&address), sizeof address);
    }
    if (m_listener == nullptr) {
        return framework::leaf::new_error(
            HttpError::ListenFailed,
            framework::ErrorContext{"cannot listen on " + endpoint.toString()});
    }
    sockaddr_in bound{};
    socklen_t length = sizeof bound;
    getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&bound), &length);
    return framework::Endpoint{endpoint.address, ntohs(bound.sin_port)};
}

void BufferedHttpServer::stopListening()
{
    if (m_listener == nullptr) {
        return;
    }
    // Closing the listener resets the connections that wait to be accepted.
    const int listenerFd = evconnlistener_get_fd(m_listener);
    int fd = -1;
    sockaddr_in address{};
    socklen_t length = sizeof address;
    while ((fd = accept4(listenerFd, reinterpret_cast<sockaddr *>(&address), &length,
                         SOCK_NONBLOCK | SOCK_CLOEXEC))
           >= 0) {
        accept(fd, clientAddress(reinterpret_cast<sockaddr *>(&address)));
        length = sizeof address;
    }
    m_acceptTimer.reset();
    evconnlistener_free(m_listener);
    m_listener = nullptr;
}

void BufferedHttpServer::closeIdleConnections()
{
    std::vector<ServerConnection *> idle;
    for (const auto &[address, connection] : m_connections) {
        if (connection->isIdle()) {
            idle.push_back(address);
        }
    }
    for (ServerConnection *connection : idle) {
        connection->closeIdle();
    }
}

std::size_t BufferedHttpServer::connectionsInUse() const
{
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(),
                      [](const auto &entry) { return !entry.second->isLingering(); }));
}

void BufferedHttpServer::accepted(evconnlistener * /*listener*/, int fd, sockaddr *address,
                                  int /*length*/, void *self)
{
    static_cast<BufferedHttpServer *>(self)->accept(fd, clientAddress(address));
}

void BufferedHttpServer::accept(int fd, budget::ClientAddress address)
{
    auto connection = std::make_unique<ServerConnection>(*this, fd, address);
    ServerConnection *place = connection.get();
    if (!m_budget->admit(*place)) {
        pauseAccepting(FullPause);
        return;
    }
    m_connections.emplace(place, std::move(connection));
    if (!m_discarded.empty() && ++m_acceptedAtOnce >= MaxAcceptedAtOnce) {
        pauseAccepting(framework::Milliseconds(0));
    }
}

void BufferedHttpServer::pauseAccepting(framework::Milliseconds pause)
{
    if (m_listener == nullptr) {
        return;
    }
    evconnlistener_disable(m_listener);
    m_acceptTimer = m_loop.callAfter(pause, [this] {
        m_acceptedAtOnce = 0;
        evconnlistener_enable(m_listener);
    });
}

framework::TimePoint BufferedHttpServer::now() const
{
    return m_budget->now();
}

void BufferedHttpServer::handle(const std::shared_ptr<IHttpExchange> &exchange)
{
    m_handler(exchange);
}

void BufferedHttpServer::noteRefusal(int status) const
{
    if (m_refused) {
        m_refused(status);
    }
}

void BufferedHttpServer::relieveBudget()
{
    if (m_reliefTimer || !m_budget->isExceeded()) {
        return;
    }
    // Not at once, since the request whose answer is sent is on the call stack.
    m_reliefTimer = m_loop.callAfter(ReliefInterval, [this] {
        m_reliefTimer.reset();
        m_budget->makeRoom(framework::Bytes(0), false, nullptr);
        relieveBudget();
    });
}

void BufferedHttpServer::discard(ServerConnection &connection)
{
    auto node = m_connections.extract(&connection);
    if (node.empty()) {
        return;
    }
    m_discarded.push_back(std::move(node.mapped()));
    if (m_discarded.size() > 1) {
        // A timer that is set anew with each connection would not fire while many end.
        return;
    }
    m_discardTimer = m_loop.callAfter(framework::Milliseconds(0), [this] {
        m_acceptedAtOnce = 0;
        const auto gone = std::exchange(m_discarded, {});
    });
}

} // namespace lavendertally::http
