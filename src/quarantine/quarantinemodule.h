#pragma once

#include "framework/types/ids.h"
#include "quarantine/types/quarantinelimits.h"

#include <cstdint>
#include <memory>

namespace lavendertally::framework {
class ILogger;
class IMetrics;
} // namespace lavendertally::framework

namespace lavendertally::quarantine {

class IPromptQuarantine;

/// Creates the objects of the module.
class QuarantineModule
{
public:
    /// \param logger outlives the quarantine, as do the metrics
    /// \param seed differs among daemons, so that they try a blamed part again at different times
    static std::unique_ptr<IPromptQuarantine> makeQuarantine(framework::ILogger &logger,
                                                             framework::IMetrics &metrics,
                                                             const QuarantineLimits &limits = {},
                                                             std::uint64_t seed = 0);
};

} // namespace lavendertally::quarantine
