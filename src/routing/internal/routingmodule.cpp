#include "routing/routingmodule.h"

#include "routing/internal/backendhosttable.h"
#include "routing/internal/backendserverselector.h"
#include "routing/internal/loadawareselector.h"
#include "routing/internal/randomselector.h"
#include "routing/internal/stalereportprobepolicy.h"
#include "routing/types/routing.h"

#include <utility>

namespace lavendertally::routing {

std::unique_ptr<IHostSelector>
RoutingModule::makeRandomSelector(const membership::IMembership &membership,
                                  framework::IRandom &random)
{
    return std::make_unique<RandomSelector>(membership, random);
}

Routing RoutingModule::makeRouting(const membership::IMembership &membership,
                                   framework::IRandom &random, const framework::HostId &self,
                                   const HostSelectorSettings &settings)
{
    auto table = std::make_shared<BackendHostTable>(membership, self, settings);
    auto selector = std::make_unique<LoadAwareSelector>(table, random);
    auto probes = std::make_unique<StaleReportProbePolicy>(std::move(table));
    return {.selector = std::move(selector), .probes = std::move(probes)};
}

std::unique_ptr<IBackendServerSelector> RoutingModule::makeBackendServerSelector(
    const membership::IBackendServers &servers, ratelimit::IServerRateLimits &rateLimits,
    framework::IRandom &random, std::vector<IServerFilter *> filters, framework::IMetrics *metrics)
{
    return std::make_unique<BackendServerSelector>(servers, rateLimits, random, std::move(filters),
                                                   metrics);
}

} // namespace lavendertally::routing
