#pragma once

#include "routing/ihostselector.h"
#include "routing/iprobepolicy.h"

#include <memory>

namespace lavendertally::routing {

/// A selector and the probes that keep its knowledge fresh.
struct Routing
{
    std::unique_ptr<IHostSelector> selector;
    std::unique_ptr<IProbePolicy> probes;
};

} // namespace lavendertally::routing
