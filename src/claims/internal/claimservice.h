#pragma once

#include "claims/iclaimrecordcodec.h"
#include "claims/iclaimservice.h"
#include "claims/internal/claimcontext.h"
#include "claims/internal/claimpartition.h"
#include "framework/itimer.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>

namespace lavendertally::claims {

/// Claim service on top of the log service; keys are hashed among its streams.
class ClaimService final : public IClaimService
{
public:
    ClaimService(const ClaimContext &context, std::unique_ptr<IClaimRecordCodec> codec);

    void claim(const ClaimRequest &request, std::function<void(ClaimAnswer)> callback) override;
    void recordDone(const ClaimKey &key, const std::string &result) override;
    void recordNotRun(const ClaimKey &key) override;
    std::size_t unrecordedOutcomes() const override;

private:
    bool isWithinWindow(framework::TimePoint issuedAt) const;
    /// Calls \p callback from the scheduler, after the present call has returned.
    void answerLater(ClaimAnswer answer, std::function<void(ClaimAnswer)> callback);
    ClaimPartition &partitionOf(const ClaimKey &key);

    std::unique_ptr<IClaimRecordCodec> m_codec;
    ClaimContext m_context;
    std::map<std::uint64_t, ClaimPartition> m_partitions;
    std::uint64_t m_nextTimer = 0;
    std::map<std::uint64_t, std::unique_ptr<framework::ITimer>> m_timers;
};

} // namespace lavendertally::claims
