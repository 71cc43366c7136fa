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

/// Makes the claims service.
class ClaimsModule
{
public:
    /// The arguments outlive the service.
    /// \param claimant this process
    static std::unique_ptr<IClaimService>
    makeService(infrastructure::ILogService &log, framework::IScheduler &scheduler,
                const framework::IClock &clock, framework::IRandom &random,
                framework::IMetrics &metrics, const framework::DaemonId &claimant,
                const ClaimSettings &settings);

    static std::unique_ptr<IClaimRecordCodec> makeJsonCodec();
};

} // namespace lavendertally::claims
