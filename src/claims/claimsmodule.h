#pragma once

#include "framework/types/ids.h"

#include <memory>

namespace lavendertally::framework {
class IClock;
class IMetrics;
class IRandom;
class IScheduler;
} // namespace lavendertally::framework

namespace lavendertally::infrastructure {
class ILogService;
}

namespace lavendertally::claims {

class IClaimRecordCodec;
class IClaimService;
struct ClaimSettings;

/// Factory of the claim service and its record codec.
class ClaimsModule
{
public:
    /// The objects passed by reference must outlive the service.
    /// \param log holds the claim streams
    /// \param scheduler runs all callbacks of the service
    /// \param clock provides deadlines and the wall clock for claim times
    /// \param random provides claim ids and backoff jitter
    /// \param metrics receives the counters of claims, appends and read errors
    /// \param claimant id of this process in its claims
    /// \param settings see ClaimSettings
    static std::unique_ptr<IClaimService>
    makeService(infrastructure::ILogService &log, framework::IScheduler &scheduler,
                const framework::IClock &clock, framework::IRandom &random,
                framework::IMetrics &metrics, const framework::DaemonId &claimant,
                const ClaimSettings &settings);

    /// \return codec that writes each claim record as a JSON object
    static std::unique_ptr<IClaimRecordCodec> makeJsonCodec();
};

} // namespace lavendertally::claims
