#include "infrastructure/internal/serviceconnection.h"

#include "http/ihttpcall.h"
#include "http/ihttpclient.h"
#include "http/types/httprequest.h"

#include <utility>

namespace lavendertally::infrastructure {

ServiceConnection::ServiceConnection(http::IHttpClient &client, framework::Endpoint endpoint)
    : m_client(client), m_endpoint(std::move(endpoint))
{ }

ServiceConnection::~ServiceConnection() = default;

void ServiceConnection::get(const std::string &target, framework::Milliseconds timeout,
                            Callback callback)
{
    http::HttpRequest request;
    request.endpoint = m_endpoint;
    request.method = http::HttpMethod::Get;
    request.target = target;
    request.timeout = timeout;
    send(request, std::move(callback));
}

void ServiceConnection::post(const std::string &target, std::string body,
                             framework::Milliseconds timeout, Callback callback)
{
    http::HttpRequest request;
    request.endpoint = m_endpoint;
    request.method = http::HttpMethod::Post;
    request.target = target;
    request.headers = {{"Content-Type", "application/json"}};
    request.body = std::move(body);
    request.timeout = timeout;
    send(request, std::move(callback));
}

void ServiceConnection::send(const http::HttpRequest &request, Callback callback)
{
    const std::uint64_t id = m_nextId++;
    m_calls[id] = m_client.fetch(
        request, [this, id, callback = std::move(callback)](http::HttpResponse response) {
            // Nothing of this object is used after the callback, which may destroy it.
            const auto call = m_calls.extract(id);
            callback(std::move(response));
        });
}

} // namespace lavendertally::infrastructure
