#pragma once

#include "framework/types/endpoint.h"
#include "http/ihttpclient.h"

#include <deque>
#include <map>
#include <memory>
#include <vector>

struct evhttp_connection;

namespace lavendertally::framework {
class IEventLoop;
}

namespace lavendertally::http {

/// HTTP client on evhttp. evhttp runs one request at a time on a connection, so the client keeps
/// as many connections to an endpoint as it has calls under way, and reuses idle ones.
class EvHttpClient final : public IHttpClient
{
public:
    explicit EvHttpClient(framework::IEventLoop &loop);
    ~EvHttpClient() override;
    EvHttpClient(const EvHttpClient &) = delete;
    EvHttpClient &operator=(const EvHttpClient &) = delete;

    std::unique_ptr<IHttpCall> send(const HttpRequest &request,
                                    IHttpResponseObserver &observer) override;
    std::unique_ptr<IHttpCall> fetch(const HttpRequest &request,
                                     std::function<void(HttpResponse)> callback) override;

    /// Takes a connection that carries nothing.
    evhttp_connection *acquire(const framework::Endpoint &endpoint);
    /// Gives a connection back for reuse.
    void release(const framework::Endpoint &endpoint, evhttp_connection *connection);
    /// Frees a connection after the current callback; evhttp still uses it until then.
    void discard(evhttp_connection *connection);

    framework::IEventLoop &loop() { return m_loop; }

private:
    struct DiscardBin;

    framework::IEventLoop &m_loop;
    std::map<framework::Endpoint, std::vector<evhttp_connection *>> m_idle;
    std::unique_ptr<DiscardBin> m_discarded;
};

} // namespace lavendertally::http
