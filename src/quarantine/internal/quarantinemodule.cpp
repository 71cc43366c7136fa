#include "quarantine/quarantinemodule.h"

#include "quarantine/internal/promptquarantine.h"

namespace lavendertally::quarantine {

std::unique_ptr<IPromptQuarantine> QuarantineModule::makeQuarantine(framework::ILogger &logger,
                                                                    framework::IMetrics &metrics,
                                                                    const QuarantineLimits &limits,
                                                                    std::uint64_t seed)
{
    return std::make_unique<PromptQuarantine>(logger, metrics, limits, seed);
}

} // namespace lavendertally::quarantine
