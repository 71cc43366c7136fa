#pragma once

#include "proxy/ibackendclient.h"

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
    HttpBackendPort(http::IHttpClient &client, membership::IBackendServerUpdates &servers);

    std::unique_ptr<proxy::IBackendCall> send(const proxy::BackendRequest &request,
                                              proxy::IBackendResponseObserver &observer) override;
    std::unique_ptr<proxy::IBackendCall>
    probe(const membership::BackendServerEntry &server,
          std::function<void(http::ProbeResult)> callback) override;

private:
    http::IHttpClient &m_client;
    membership::IBackendServerUpdates &m_servers;
};

} // namespace lavendertally::platform
