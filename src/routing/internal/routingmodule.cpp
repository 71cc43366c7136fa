#include "routing/routingmodule.h"

#include "routing/internal/randomselector.h"

namespace lavendertally::routing {

std::unique_ptr<IWorkerSelector>
RoutingModule::makeRandomSelector(const membership::IMembership &membership,
                                  framework::IRandom &random)
{
    return std::make_unique<RandomSelector>(membership, random);
}

} // namespace lavendertally::routing
