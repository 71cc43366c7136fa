#pragma once

#include "framework/types/ids.h"
#include "routing/types/selectorlimits.h"

#include <memory>

namespace lavendertally::framework {
class IRandom;
}

namespace lavendertally::membership {
class IMembership;
}

namespace lavendertally::routing {

class IWorkerSelector;
struct Routing;

/// Makes worker selectors.
class RoutingModule
{
public:
    /// \return a selector that chooses evenly among all admitting hosts and learns nothing
    static std::unique_ptr<IWorkerSelector>
    makeRandomSelector(const membership::IMembership &membership, framework::IRandom &random);

    /// \param self this entry's host
    /// \return a selector by load over a stable subset, and the probes that go with it
    static Routing makeRouting(const membership::IMembership &membership,
                               framework::IRandom &random, const framework::HostId &self,
                               const SelectorLimits &limits = {});
};

} // namespace lavendertally::routing
