#pragma once

#include "rollout/irolloutobserver.h"
#include "rollout/irolloutorders.h"
#include "routing/iserverfilter.h"

#include <functional>
#include <set>

namespace lavendertally::rollout {

/// What a daemon sends to the versions of services: it follows the orders, limits the choice of
/// servers and counts what comes back.
class IRolloutTraffic : public routing::IServerFilter,
                        public IRolloutObserver,
                        public IRolloutOrders
{
public:
    using Holders = std::function<std::set<framework::BackendServerId>()>;

    /// \param holders returns the backend servers that keep results of stages which requests of
    /// this daemon's coordinator may still need; they count like servers with requests
    virtual void setResultHolders(Holders holders) = 0;
};

} // namespace lavendertally::rollout
