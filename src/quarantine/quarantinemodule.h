#pragma once

#include "framework/types/ids.h"
#include "quarantine/ipromptquarantine.h"
#include "quarantine/types/crashexchangelimits.h"
#include "quarantine/types/quarantinelimits.h"

#include <cstdint>
#include <memory>

namespace lavendertally::framework {
class IClock;
class ILogger;
class IMetrics;
class IScheduler;
} // namespace lavendertally::framework

namespace lavendertally::peers {
class IPeerNetwork;
class IPeerObserver;
} // namespace lavendertally::peers

namespace lavendertally::quarantine {

class ICrashEvidenceStore;
class IPromptWatch;

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

    /// \param quarantine outlives the watch, as do the clock and the scheduler
    /// \param parts parts that the prompt of the request shares with others
    static std::unique_ptr<IPromptWatch> makePromptWatch(IPromptQuarantine &quarantine,
                                                         const framework::IClock &clock,
                                                         framework::IScheduler &scheduler,
                                                         const IPromptQuarantine::Parts &parts);

    /// Makes what tells the other daemons of crashes, and learns of them; it observes \p network.
    /// \param self id of this daemon
    /// \param store outlives the exchange, as do the network and the services after it
    static std::unique_ptr<peers::IPeerObserver>
    makeCrashExchange(const framework::DaemonId &self, ICrashEvidenceStore &store,
                      peers::IPeerNetwork &network, framework::IScheduler &scheduler,
                      const framework::IClock &clock, framework::ILogger &logger,
                      framework::IMetrics &metrics, const CrashExchangeLimits &limits = {});
};

} // namespace lavendertally::quarantine
