#pragma once

#include "framework/types/ids.h"
#include "routing/types/hostselectorsettings.h"

#include <memory>

namespace lavendertally::framework {
class IRandom;
}

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

    /// \return a selector of backend servers that are called without a host process in between
    static std::unique_ptr<IBackendServerSelector>
    makeBackendServerSelector(const membership::IBackendServers &servers,
                              ratelimit::IServerRateLimits &rateLimits, framework::IRandom &random);
};

} // namespace lavendertally::routing
