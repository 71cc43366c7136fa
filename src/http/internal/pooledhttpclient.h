#pragma once

#include "framework/types/endpoint.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"
#include "http/ihttpclient.h"
#include "http/internal/connectionqueue.h"
#include "http/types/connectionclose.h"
#include "http/types/httpclientoptions.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lavendertally::framework {
class IClock;
class IEventLoop;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::http {

class ClientCall;
class ClientConnection;
class IConnectionGate;

/// HTTP client that keeps idle connections by endpoint and reuses the one used last.
class PooledHttpClient final : public IHttpClient
{
public:
    PooledHttpClient(framework::IEventLoop &loop, const HttpClientOptions &options);
    ~PooledHttpClient() override;
    PooledHttpClient(const PooledHttpClient &) = delete;
    PooledHttpClient &operator=(const PooledHttpClient &) = delete;

    std::unique_ptr<IHttpCall> send(const HttpRequest &request,
                                    IHttpResponseObserver &observer) override;
    std::unique_ptr<IHttpCall> fetch(const HttpRequest &request,
                                     std::function<void(HttpResponse)> callback) override;
    std::unique_ptr<IHttpCall> probe(const framework::Endpoint &endpoint,
                                     framework::Milliseconds timeout,
                                     std::function<void(ProbeResult)> callback) override;

    framework::IEventLoop &loop() { return m_loop; }
    const HttpClientOptions &options() const { return m_options; }

    framework::TimePoint now() const;

    /// Gives the call a connection: an idle one, or a new one that is not connected yet. It waits
    /// for one if the gate allows no further one.
    /// \return whether the call has a connection or waits; ClientCall::begin() is called now or
    /// later
    bool acquire(ClientCall &call);
    /// The call does not wait for a connection any more.
    void stopWaiting(ClientCall &call);
    /// \param stated idle time that the server allows
    void release(ClientConnection &connection, std::optional<framework::Milliseconds> stated);
    /// Destroys \p connection once the callbacks under way have returned.
    void discard(ClientConnection &connection, ConnectionClose state);
    /// \return null if connections are not limited
    IConnectionGate *gate() const { return m_options.gate; }

private:
    /// \param maxIdle longest time that the connection may have been idle
    /// \return an idle or a new connection; null if there is none and no other may be opened
    ClientConnection *take(const framework::Endpoint &endpoint, framework::Milliseconds maxIdle);
    ClientConnection *takeIdle(const framework::Endpoint &endpoint,
                               framework::Milliseconds maxIdle);
    /// \return how long an idle connection is kept for reuse
    framework::Milliseconds keepTime(const framework::Endpoint &endpoint,
                                     std::optional<framework::Milliseconds> stated) const;
    void serveWaiting(const framework::Endpoint &endpoint);
    /// Closes the oldest idle connection for the first waiting call, which can use none of them.
    void makeRoom(ClientCall &call);
    void removeIdle(ClientConnection &connection);

    framework::IEventLoop &m_loop;
    HttpClientOptions m_options;
    std::unique_ptr<framework::IClock> m_clock;
    std::unordered_map<ClientConnection *, std::unique_ptr<ClientConnection>> m_connections;
    std::map<framework::Endpoint, std::vector<ClientConnection *>> m_idle;
    ConnectionQueue m_waiting;
    /// Servers to which calls are sent that need connections that were in use shortly before:
    /// within which time.
    std::map<framework::Endpoint, framework::Milliseconds> m_freshTimes;
    std::size_t m_idleCount = 0;
    std::vector<std::unique_ptr<ClientConnection>> m_discarded;
    std::unique_ptr<framework::ITimer> m_discardTimer;
};

} // namespace lavendertally::http
