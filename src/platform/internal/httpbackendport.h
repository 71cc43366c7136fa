#pragma once

#include "proxy/ibackendclient.h"

namespace lavendertally::connections {
class IConnectionShares;
}

namespace lavendertally::http {
class IHttpClient;
}

namespace lavendertally::membership {
class IBackendServerUpdates;
}

namespace lavendertally::platform {

/// Sends requests to the platform's backend servers.
class HttpBackendPort final : public proxy::IBackendClient
{
public:
    /// \param connections shares of connections that limit \p client
    HttpBackendPort(http::IHttpClient &client, membership::IBackendServerUpdates &servers,
                    connections::IConnectionShares &connections);

    std::unique_ptr<proxy::IBackendCall> send(const proxy::BackendRequest &request,
                                              proxy::IBackendResponseObserver &observer) override;
    std::unique_ptr<proxy::IBackendCall>
    probe(const membership::BackendServerEntry &server,
          std::function<void(http::ProbeResult)> callback) override;

private:
    http::IHttpClient &m_client;
    membership::IBackendServerUpdates &m_servers;
    connections::IConnectionShares &m_connections;
};

} // namespace lavendertally::platform
