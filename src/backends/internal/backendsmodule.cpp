#include "backends/backendsmodule.h"

#include "backends/internal/httpbackendserverfactory.h"

namespace lavendertally::backends {

std::unique_ptr<IBackendServerFactory>
BackendsModule::makeFactory(http::IHttpClient &client, const framework::Endpoint &endpoint)
{
    return std::make_unique<HttpBackendServerFactory>(client, endpoint);
}

} // namespace lavendertally::backends
