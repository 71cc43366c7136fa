#include "quarantine/quarantinemodule.h"

#include "quarantine/internal/crashexchange.h"
#include "quarantine/internal/promptquarantine.h"

namespace lavendertally::quarantine {

std::unique_ptr<IPromptQuarantine> QuarantineModule::makeQuarantine(framework::ILogger &logger,
                                                                    framework::IMetrics &metrics,
                                                                    const QuarantineLimits &limits,
                                                                    std::uint64_t seed)
{
    return std::make_unique<PromptQuarantine>(logger, metrics, limits, seed);
}

std::unique_ptr<peers::IPeerObserver>
QuarantineModule::makeCrashExchange(const framework::DaemonId &self, ICrashEvidenceStore &store,
                                    peers::IPeerNetwork &network, framework::IScheduler &scheduler,
                                    const framework::IClock &clock, framework::ILogger &logger,
                                    framework::IMetrics &metrics, const CrashExchangeLimits &limits)
{
    return std::make_unique<CrashExchange>(self, store, network, scheduler, clock, logger, metrics,
                                           limits);
}

} // namespace lavendertally::quarantine
