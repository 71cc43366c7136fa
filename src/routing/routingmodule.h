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

namespace lavendertally::routing {

class IBackendServerSelector;
class IHostSelector;
struct Routing;

/// Makes worker selectors.
class RoutingModule
{
public:
    /// \return a selector that chooses evenly among all admitting hosts and learns nothing
    static std::unique_ptr<IHostSelector>
    makeRandomSelector(const membership::IMembership &membership, framework::IRandom &random);

    /// \param self this entry's host
    /// \return a selector by load over a stable subset, and the probes that go with it
    static Routing makeRouting(const membership::IMembership &membership,
                               framework::IRandom &random, const framework::HostId &self,
                               const HostSelectorSettings &limits = {});

    /// \return a selector of backend servers that are called directly
    static std::unique_ptr<IBackendServerSelector>
    makeBackendServerSelector(const membership::IBackendServers &servers,
                              framework::IRandom &random);
};

} // namespace lavendertally::routing
