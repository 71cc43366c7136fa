#pragma once

#include "claims/types/claimsettings.h"
#include "framework/types/ids.h"

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

/// Dependencies shared by the parts of the claim service; the referenced objects outlive them.
struct ClaimContext
{
    infrastructure::ILogService &log;
    framework::IScheduler &scheduler;
    const framework::IClock &clock;
    framework::IRandom &random;
    framework::IMetrics &metrics;
    const IClaimRecordCodec &codec;
    framework::DaemonId claimant;
    ClaimSettings settings;
};

} // namespace lavendertally::claims
