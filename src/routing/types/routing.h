#pragma once

#include "routing/iprobepolicy.h"
#include "routing/iworkerselector.h"

#include <memory>

namespace lavendertally::routing {

/// A selector and the probes that keep its knowledge fresh.
struct Routing
{
    std::unique_ptr<IWorkerSelector> selector;
    std::unique_ptr<IProbePolicy> probes;
};

} // namespace lavendertally::routing
