#pragma once

#include <memory>

namespace lavendertally::framework {
class IRandom;
}

namespace lavendertally::membership {
class IMembership;
}

namespace lavendertally::routing {

class IWorkerSelector;

/// Makes worker selectors.
class RoutingModule
{
public:
    /// \return a selector that chooses evenly among all admitting hosts and learns nothing
    static std::unique_ptr<IWorkerSelector>
    makeRandomSelector(const membership::IMembership &membership, framework::IRandom &random);
};

} // namespace lavendertally::routing
