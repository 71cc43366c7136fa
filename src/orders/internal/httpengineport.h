#pragma once

#include "framework/types/endpoint.h"
#include "orders/iengineport.h"

#include <cstdint>
#include <map>
#include <memory>

namespace lavendertally::http {
class IHttpCall;
class IHttpClient;
} // namespace lavendertally::http

namespace lavendertally::orders {

/// Carries orders to the engine by `POST /v1/orders`.
class HttpEnginePort final : public IEnginePort
{
public:
    HttpEnginePort(http::IHttpClient &client, framework::Endpoint endpoint);
    ~HttpEnginePort() override;

    void send(const EngineOrder &order, framework::FencingNumber fencing,
              framework::Milliseconds timeout,
              std::function<void(framework::Result<void>)> callback) override;

private:
    http::IHttpClient &m_client;
    framework::Endpoint m_endpoint;
    std::uint64_t m_nextId = 0;
    std::map<std::uint64_t, std::unique_ptr<http::IHttpCall>> m_calls;
};

} // namespace lavendertally::orders
