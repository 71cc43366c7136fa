#include "infrastructure/infrastructuremodule.h"

#include "infrastructure/internal/httphostlist.h"
#include "infrastructure/internal/httplogservice.h"

namespace lavendertally::infrastructure {

std::unique_ptr<ILogService>
InfrastructureModule::makeLogService(http::IHttpClient &client, const framework::Endpoint &endpoint)
{
    return std::make_unique<HttpLogService>(client, endpoint);
}

std::unique_ptr<IHostList> InfrastructureModule::makeHostList(http::IHttpClient &client,
                                                              const framework::Endpoint &endpoint)
{
    return std::make_unique<HttpHostList>(client, endpoint);
}

} // namespace lavendertally::infrastructure
