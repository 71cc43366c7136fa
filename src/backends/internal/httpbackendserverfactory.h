#pragma once

#include "backends/ibackendserverfactory.h"
#include "framework/types/endpoint.h"

namespace lavendertally::http {
class IHttpClient;
}

namespace lavendertally::backends {

/// Creates clients that call the backend server over HTTP.
class HttpBackendServerFactory final : public IBackendServerFactory
{
public:
    HttpBackendServerFactory(http::IHttpClient &client, framework::Endpoint endpoint);

    std::unique_ptr<IBackendServer> makeBackendServer(configuration::ServiceKind kind,
                                                      const framework::ModelId &model) override;

private:
    http::IHttpClient &m_client;
    framework::Endpoint m_endpoint;
};

} // namespace lavendertally::backends
