#include "backends/internal/httpbackendserver.h"

#include "backends/internal/httpbackendcall.h"
#include "backends/internal/icallformat.h"
#include "backends/internal/iresponsereader.h"
#include "backends/types/backendcall.h"
#include "http/ihttpcall.h"
#include "http/ihttpclient.h"
#include "http/types/httprequest.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace lavendertally::backends {

namespace {

constexpr int HttpOk = 200;

/// Probe in flight.
class HttpProbe final : public IBackendCallHandle
{
public:
    explicit HttpProbe(std::unique_ptr<http::IHttpCall> call) : m_call(std::move(call)) { }

private:
    std::unique_ptr<http::IHttpCall> m_call;
};

std::optional<admission::BackendHealth> parseHealth(const http::HttpResponse &response)
{
    if (response.end != http::HttpEnd::Complete || response.status != HttpOk) {
        return std::nullopt;
    }
    const auto state = nlohmann::json::parse(response.body, nullptr, false);
    if (!state.is_object() || !state.value("incarnation", nlohmann::json()).is_number_unsigned()
        || !state.value("ready", nlohmann::json()).is_boolean()
        || !state.value("cold", nlohmann::json()).is_boolean()) {
        return std::nullopt;
    }
    admission::BackendHealth health;
    health.incarnation = framework::Incarnation(state["incarnation"].get<std::uint64_t>());
    health.ready = state["ready"].get<bool>();
    health.cold = state["cold"].get<bool>();
    return health;
}

} // namespace

HttpBackendServer::HttpBackendServer(http::IHttpClient &client, framework::Endpoint endpoint,
                                     std::unique_ptr<ICallFormat> format)
    : m_client(client), m_endpoint(std::move(endpoint)), m_format(std::move(format))
{ }

HttpBackendServer::~HttpBackendServer() = default;

framework::Result<std::unique_ptr<IBackendCallHandle>>
HttpBackendServer::call(const BackendCall &call, IBackendObserver &observer)
{
    BOOST_LEAF_AUTO(body, m_format->requestBody(call));
    http::HttpRequest request;
    request.endpoint = m_endpoint;
    request.method = http::HttpMethod::Post;
    request.target = m_format->target();
    request.headers = {{"Content-Type", "application/json"}};
    request.body = std::move(body);
    request.timeout = call.budget;
    return std::unique_ptr<IBackendCallHandle>(
        std::make_unique<HttpBackendCall>(m_client, request, m_format->makeReader(), observer));
}

void HttpBackendServer::checkHealth(
    framework::Milliseconds timeout,
    std::function<void(std::optional<admission::BackendHealth>)> callback)
{
    http::HttpRequest request;
    request.endpoint = m_endpoint;
    request.target = "/v1/state";
    request.timeout = timeout;
    m_healthCall = m_client.fetch(
        request, [callback = std::move(callback)](const http::HttpResponse &response) {
            callback(parseHealth(response));
        });
}

std::unique_ptr<IBackendCallHandle>
HttpBackendServer::probe(framework::Milliseconds timeout,
                         std::function<void(http::ProbeResult)> callback)
{
    return std::make_unique<HttpProbe>(m_client.probe(m_endpoint, timeout, std::move(callback)));
}

} // namespace lavendertally::backends
