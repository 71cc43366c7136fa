#pragma once

#include "framework/types/ids.h"
#include "routing/types/hostselectorsettings.h"

#include <memory>
#include <vector>

namespace lavendertally::framework {
class IMetrics;
class IRandom;
} // namespace lavendertally::framework

namespace lavendertally::membership {
class IBackendServers;
class IMembership;
} // namespace lavendertally::membership

namespace lavendertally::ratelimit {
class IServerRateLimits;
}

namespace lavendertally::routing {

class IBackendServerSelector;
class IHostSelector;
class IServerFilter;
struct Routing;

/// Factory of selectors of backend hosts and backend servers.
class RoutingModule
{
public:
    /// \return a selector that draws uniformly from all admitting hosts and ignores loads and
    /// failures
    static std::unique_ptr<IHostSelector>
    makeRandomSelector(const membership::IMembership &membership, framework::IRandom &random);

    /// \param self entry host that this process runs on
    /// \return a load-aware selector over a stable subset of the backend hosts, and the probe
    /// policy that shares its state
    static Routing makeRouting(const membership::IMembership &membership,
                               framework::IRandom &random, const framework::HostId &self,
                               const HostSelectorSettings &settings = {});

    /// \param filters applied one after the other to the candidates of each call; they outlive the
    /// selector
    /// \param metrics gets the reasons of choices and the errors of predicted times; none if null
    /// \return a selector of backend servers that are called without a host process in between
    static std::unique_ptr<IBackendServerSelector>
    makeBackendServerSelector(const membership::IBackendServers &servers,
                              ratelimit::IServerRateLimits &rateLimits, framework::IRandom &random,
                              std::vector<IServerFilter *> filters = {},
                              framework::IMetrics *metrics = nullptr);
};

} // namespace lavendertally::routing
