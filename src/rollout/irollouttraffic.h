#pragma once

#include "rollout/irolloutobserver.h"
#include "rollout/irolloutorders.h"
#include "routing/iserverfilter.h"

namespace lavendertally::rollout {

/// What a daemon sends to the versions of services: it follows the orders, limits the choice of
/// servers and counts what comes back.
class IRolloutTraffic : public routing::IServerFilter,
                        public IRolloutObserver,
                        public IRolloutOrders
{ };

} // namespace lavendertally::rollout
