#pragma once

#include "framework/types/ids.h"
#include "quarantine/types/quarantinelimits.h"

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
    static std::unique_ptr<IPromptQuarantine> makeQuarantine(framework::ILogger &logger,
                                                             framework::IMetrics &metrics,
                                                             const QuarantineLimits &limits = {});
};

} // namespace lavendertally::quarantine
