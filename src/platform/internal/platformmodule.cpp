#include "platform/platformmodule.h"

#include "platform/internal/httphostlist.h"
#include "platform/internal/httplogservice.h"
#include "platform/internal/httpweightstore.h"

namespace lavendertally::platform {

std::unique_ptr<ILogService> PlatformModule::makeLogService(http::IHttpClient &client,
                                                            const framework::Endpoint &endpoint)
{
    return std::make_unique<HttpLogService>(client, endpoint);
}

std::unique_ptr<IHostList> PlatformModule::makeHostList(http::IHttpClient &client,
                                                        const framework::Endpoint &endpoint)
{
    return std::make_unique<HttpHostList>(client, endpoint);
}

std::unique_ptr<IWeightStore> PlatformModule::makeWeightStore(http::IHttpClient &client,
                                                              framework::IScheduler &scheduler,
                                                              const framework::IClock &clock,
                                                              const framework::Endpoint &endpoint)
{
    return std::make_unique<HttpWeightStore>(client, scheduler, clock, endpoint);
}

} // namespace lavendertally::platform
