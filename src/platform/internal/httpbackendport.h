#pragma once

#include "proxy/ibackendclient.h"

namespace lavendertally::http {
class IHttpClient;
}

namespace lavendertally::platform {

/// Sends requests to the platform's backend servers.
class HttpBackendPort final : public proxy::IBackendClient
{
public:
    explicit HttpBackendPort(http::IHttpClient &client);

    std::unique_ptr<proxy::IBackendCall> send(const proxy::BackendRequest &request,
                                              proxy::IBackendResponseObserver &observer) override;
    std::unique_ptr<proxy::IBackendCall>
    probe(const membership::BackendServerEntry &server,
          std::function<void(http::ProbeResult)> callback) override;

private:
    http::IHttpClient &m_client;
};

} // namespace lavendertally::platform
