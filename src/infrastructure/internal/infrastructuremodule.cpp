#include "infrastructure/infrastructuremodule.h"

#include "infrastructure/internal/httphostlist.h"
#include "infrastructure/internal/httplogservice.h"
#include "infrastructure/internal/httpweightstore.h"

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

std::unique_ptr<IWeightStore>
InfrastructureModule::makeWeightStore(http::IHttpClient &client, framework::IScheduler &scheduler,
                                      const framework::IClock &clock,
                                      const framework::Endpoint &endpoint)
{
    return std::make_unique<HttpWeightStore>(client, scheduler, clock, endpoint);
}

} // namespace lavendertally::infrastructure
