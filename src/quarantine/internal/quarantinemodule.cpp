#include "quarantine/quarantinemodule.h"

#include "quarantine/internal/promptquarantine.h"

namespace lavendertally::quarantine {

std::unique_ptr<IPromptQuarantine> QuarantineModule::makeQuarantine(framework::ILogger &logger,
                                                                    framework::IMetrics &metrics,
                                                                    const QuarantineLimits &limits)
{
    return std::make_unique<PromptQuarantine>(logger, metrics, limits);
}

} // namespace lavendertally::quarantine
