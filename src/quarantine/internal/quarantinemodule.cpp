#include "quarantine/quarantinemodule.h"

#include "quarantine/internal/crashexchange.h"
#include "quarantine/internal/promptquarantine.h"
#include "quarantine/internal/promptwatch.h"

namespace lavendertally::quarantine {

std::unique_ptr<IPromptQuarantine> QuarantineModule::makeQuarantine(framework::ILogger &logger,
                                                                    framework::IMetrics &metrics,
                                                                    const QuarantineLimits &limits,
                                                                    std::uint64_t seed)
{
    return std::make_unique<PromptQuarantine>(logger, metrics, limits, seed);
}

std::unique_ptr<IPromptWatch>
QuarantineModule::makePromptWatch(IPromptQuarantine &quarantine, const framework::IClock &clock,
                                  framework::IScheduler &scheduler,
                                  const IPromptQuarantine::Parts &parts)
{
    return std::make_unique<PromptWatch>(quarantine, clock, scheduler, parts);
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
