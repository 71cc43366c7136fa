#pragma once

#include "framework/types/endpoint.h"
#include "soak/internal/requestkind.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lavendertally::framework {
class IClock;
class IEventLoop;
class IRandom;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::http {
class IHttpCall;
class IHttpClient;
struct HttpResponse;
} // namespace lavendertally::http

namespace lavendertally::soak {

class Promises;
struct SoakOptions;

/// Clients that send one request after the other on connections that they keep until the gateway
/// closes them.
class LoadClients
{
public:
    /// \param gateways where clients connect, by index of the gateway
    LoadClients(const SoakOptions &options, std::vector<framework::Endpoint> gateways,
                framework::IEventLoop &loop, const framework::IClock &clock, Promises &promises);
    ~LoadClients();

    void start();
    /// Lets requests under way end and sends no more.
    void stop() { m_stopping = true; }
    /// \return whether no request is under way
    bool isIdle() const { return m_active == 0; }

    /// \param ready which gateways the balancer gives new connections to
    void setReady(std::vector<bool> ready) { m_ready = std::move(ready); }
    /// From now on some requests use the route that was added.
    void useAddedRoute() { m_hasAddedRoute = true; }

    /// Teams 0 to TeamCount - 1 have the keys `key0` and so on.
    static constexpr std::size_t TeamCount = 5;
    static std::string team(std::size_t index) { return "team" + std::to_string(index); }
    static std::string key(std::size_t index) { return "key" + std::to_string(index); }

private:
    struct Client
    {
        std::unique_ptr<http::IHttpClient> http;
        std::unique_ptr<http::IHttpCall> call;
        std::unique_ptr<framework::ITimer> timer;
        std::size_t gateway = 0;
        bool hasGateway = false;
    };

    void chooseGateway(Client &client);
    void send(Client &client);
    void ended(Client &client, const std::string &id, const http::HttpResponse &response);
    RequestKind chooseKind();

    std::vector<framework::Endpoint> m_gateways;
    framework::IEventLoop &m_loop;
    const framework::IClock &m_clock;
    Promises &m_promises;
    std::unique_ptr<framework::IRandom> m_random;
    std::vector<std::unique_ptr<Client>> m_clients;
    std::vector<bool> m_ready;
    std::uint64_t m_nextRequest;
    bool m_hasAddedRoute = false;
    bool m_stopping = false;
    std::size_t m_active = 0;
};

} // namespace lavendertally::soak
