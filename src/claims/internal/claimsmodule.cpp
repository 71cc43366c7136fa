#include "claims/claimsmodule.h"

#include "claims/internal/claimservice.h"
#include "claims/internal/jsonclaimcodec.h"

#include <utility>

namespace lavendertally::claims {

std::unique_ptr<IClaimService>
ClaimsModule::makeService(infrastructure::ILogService &log, framework::IScheduler &scheduler,
                          const framework::IClock &clock, framework::IRandom &random,
                          framework::IMetrics &metrics, const framework::DaemonId &claimant,
                          const ClaimSettings &settings)
{
    auto codec = makeJsonCodec();
    const ClaimContext context{log, scheduler, clock, random, metrics, *codec, claimant, settings};
    return std::make_unique<ClaimService>(context, std::move(codec));
}

std::unique_ptr<IClaimRecordCodec> ClaimsModule::makeJsonCodec()
{
    return std::make_unique<JsonClaimCodec>();
}

} // namespace lavendertally::claims
