#include "infrastructure/internal/httphostlist.h"

#include "framework/asyncerror.h"
#include "infrastructure/internal/hostlistjson.h"
#include "infrastructure/internal/responseerrors.h"

#include <utility>

namespace lavendertally::infrastructure {

namespace {

using Hosts = std::vector<membership::HostEntry>;

framework::Result<Hosts> hostsResult(const http::HttpResponse &response)
{
    if (const auto error = readError(response)) {
        return framework::asyncError<Hosts>(*error);
    }
    auto hosts = decodeHosts(response.body);
    if (!hosts) {
        return framework::asyncError<Hosts>(InfrastructureError::MalformedAnswer);
    }
    return std::move(*hosts);
}

} // namespace

HttpHostList::HttpHostList(http::IHttpClient &client, const framework::Endpoint &endpoint)
    : m_connection(client, endpoint)
{ }

void HttpHostList::fetch(framework::Milliseconds timeout,
                         std::function<void(framework::Result<Hosts>)> callback)
{
    m_connection.get("/v1/hosts", timeout,
                     [callback = std::move(callback)](const http::HttpResponse &response) {
                         callback(hostsResult(response));
                     });
}

} // namespace lavendertally::infrastructure
