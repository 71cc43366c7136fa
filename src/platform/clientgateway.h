#pragma once

#include <functional>
#include <memory>

namespace lavendertally::framework {
class ILogger;
class IMetrics;
} // namespace lavendertally::framework

namespace lavendertally::http {
class IHttpExchange;
}

namespace lavendertally::proxy {
class IProxyService;
}

namespace lavendertally::platform {

/// Takes the requests of the platform's clients.
class ClientGateway
{
public:
    ClientGateway(proxy::IProxyService &service, framework::ILogger &logger,
                  framework::IMetrics &metrics);

    void handle(const std::shared_ptr<http::IHttpExchange> &exchange);

private:
    proxy::IProxyService &m_service;
    framework::ILogger &m_logger;
    framework::IMetrics &m_metrics;
};

} // namespace lavendertally::platform
