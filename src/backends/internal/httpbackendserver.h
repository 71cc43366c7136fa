#pragma once

#include "backends/ibackendserver.h"
#include "framework/types/endpoint.h"

#include <memory>

namespace lavendertally::http {
class IHttpCall;
class IHttpClient;
} // namespace lavendertally::http

namespace lavendertally::backends {

class ICallFormat;

/// Client of a backend server that is called over HTTP.
class HttpBackendServer final : public IBackendServer
{
public:
    HttpBackendServer(http::IHttpClient &client, framework::Endpoint endpoint,
                      std::unique_ptr<ICallFormat> format);
    ~HttpBackendServer() override;

    framework::Result<std::unique_ptr<IBackendCallHandle>>
    call(const BackendCall &call, IBackendObserver &observer) override;
    void
    checkHealth(framework::Milliseconds timeout,
                std::function<void(std::optional<admission::BackendHealth>)> callback) override;
    std::unique_ptr<IBackendCallHandle>
    probe(framework::Milliseconds timeout,
          std::function<void(http::ProbeResult)> callback) override;

private:
    http::IHttpClient &m_client;
    framework::Endpoint m_endpoint;
    std::unique_ptr<ICallFormat> m_format;
    std::unique_ptr<http::IHttpCall> m_healthCall;
};

} // namespace lavendertally::backends
