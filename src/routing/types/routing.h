#pragma once

#include "routing/ihostselector.h"
#include "routing/iprobepolicy.h"

#include <memory>

namespace lavendertally::routing {

/// A host selector and the probe policy that keeps its load reports recent.
struct Routing
{
    std::unique_ptr<IHostSelector> selector;
    std::unique_ptr<IProbePolicy> probes;
};

} // namespace lavendertally::routing
