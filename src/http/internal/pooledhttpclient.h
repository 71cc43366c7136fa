#pragma once

#include "framework/types/endpoint.h"
#include "framework/types/milliseconds.h"
#include "http/ihttpclient.h"
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

class ClientConnection;

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
    void closeIdle(const framework::Endpoint &endpoint) override;
    std::unique_ptr<IHttpCall> probe(const framework::Endpoint &endpoint,
                                     framework::Milliseconds timeout,
                                     std::function<void(ProbeResult)> callback) override;

    framework::IEventLoop &loop() { return m_loop; }
    const HttpClientOptions &options() const { return m_options; }

    /// \param maxIdle longest time that the connection may have been idle
    /// \return an idle connection, or a new one that is not connected yet
    ClientConnection &acquire(const framework::Endpoint &endpoint, framework::Milliseconds maxIdle);
    /// \param stated idle time that the server allows
    void release(ClientConnection &connection, std::optional<framework::Milliseconds> stated);
    /// Destroys \p connection once the callbacks under way have returned.
    void discard(ClientConnection &connection);

private:
    void removeIdle(ClientConnection &connection);

    framework::IEventLoop &m_loop;
    HttpClientOptions m_options;
    std::unique_ptr<framework::IClock> m_clock;
    std::unordered_map<ClientConnection *, std::unique_ptr<ClientConnection>> m_connections;
    std::map<framework::Endpoint, std::vector<ClientConnection *>> m_idle;
    std::size_t m_idleCount = 0;
    std::vector<std::unique_ptr<ClientConnection>> m_discarded;
    std::unique_ptr<framework::ITimer> m_discardTimer;
};

} // namespace lavendertally::http
