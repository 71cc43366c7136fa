#include "orders/internal/httpengineport.h"

#include "framework/asyncerror.h"
#include "http/ihttpcall.h"
#include "http/ihttpclient.h"
#include "http/types/httprequest.h"
#include "orders/types/ordererror.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace lavendertally::orders {

namespace {

constexpr int Ok = 200;
constexpr int FirstClientError = 400;
constexpr int Conflict = 409;
constexpr int FirstServerError = 500;
constexpr int ServiceUnavailable = 503;

const char *nameOf(OrderKind kind)
{
    switch (kind) {
    case OrderKind::LoadModel:
        return "load_model";
    case OrderKind::LoadAdapter:
        return "load_adapter";
    case OrderKind::SetVersion:
        return "set_version";
    case OrderKind::SetRole:
        return "set_role";
    }
    return "";
}

std::string encodeOrder(const EngineOrder &order, framework::FencingNumber fencing)
{
    const nlohmann::json body{
        {"fencing", fencing.value()}, {"order", nameOf(order.kind)}, {"argument", order.argument}};
    return body.dump();
}

bool isApplied(const std::string &body)
{
    const auto answer = nlohmann::json::parse(body, nullptr, false);
    return answer.is_object() && answer.contains("applied") && answer["applied"] == true;
}

/// \return nothing if the order was applied
std::optional<OrderError> errorOf(const http::HttpResponse &response)
{
    if (response.end == http::HttpEnd::NotSent) {
        return OrderError::NotApplied;
    }
    if (response.end != http::HttpEnd::Complete) {
        return OrderError::Unknown;
    }
    if (response.status == Ok) {
        return isApplied(response.body) ? std::nullopt : std::optional(OrderError::Unknown);
    }
    if (response.status == Conflict) {
        return OrderError::StaleFencing;
    }
    const bool refused = response.status == ServiceUnavailable
        || (response.status >= FirstClientError && response.status < FirstServerError);
    return refused ? OrderError::NotApplied : OrderError::Unknown;
}

} // namespace

HttpEnginePort::HttpEnginePort(http::IHttpClient &client, framework::Endpoint endpoint)
    : m_client(client), m_endpoint(std::move(endpoint))
{ }

HttpEnginePort::~HttpEnginePort() = default;

void HttpEnginePort::send(const EngineOrder &order, framework::FencingNumber fencing,
                          framework::Milliseconds timeout,
                          std::function<void(framework::Result<void>)> callback)
{
    http::HttpRequest request;
    request.endpoint = m_endpoint;
    request.method = http::HttpMethod::Post;
    request.target = "/v1/orders";
    request.headers = {{"Content-Type", "application/json"}};
    request.body = encodeOrder(order, fencing);
    request.timeout = timeout;
    const std::uint64_t id = m_nextId++;
    m_calls[id] = m_client.fetch(
        request, [this, id, callback = std::move(callback)](const http::HttpResponse &response) {
            // Nothing of this object is used after the callback, which may destroy it.
            const auto call = m_calls.extract(id);
            if (const auto error = errorOf(response)) {
                callback(framework::asyncError<void>(*error));
                return;
            }
            callback({});
        });
}

} // namespace lavendertally::orders
