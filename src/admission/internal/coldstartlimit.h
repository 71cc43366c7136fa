#pragma once

#include "admission/internal/limitepoch.h"
#include "admission/types/admissionlimits.h"
#include "admission/types/admissionpolicy.h"
#include "admission/types/backendhealth.h"
#include "admission/types/completion.h"

#include <cstdint>
#include <optional>

namespace lavendertally::admission {

/// Concurrency limit of a backend server that may be in cold start. It follows slow start and
/// congestion avoidance of RFC 5681, sections 3.1 and 3.2, where a batch of as many successful
/// completions as the limit takes the place of a round trip. The limit doubles after each batch up
/// to a threshold, then rises by one per batch, and halves on a failure, at most once per batch.
/// After cold start is detected, it is raised only once a health report says that the backend
/// server is warm, provided that any health report was ever received.
class ColdStartLimit
{
public:
    ColdStartLimit(const AdmissionLimits &limits, const AdmissionPolicy &policy);

    /// \return items that may run at once; zero while the backend server is not ready
    std::uint32_t limit() const { return m_ready ? m_limit : 0; }
    /// \return whether the limit has not been raised since cold start was last assumed
    bool isCold() const { return m_cold; }
    /// \return present epoch, to be passed to complete() for each item that starts now
    LimitEpoch epoch() const { return m_epoch; }
    framework::Incarnation incarnation() const;

    void setLimits(const AdmissionLimits &limits);
    void observeHealth(const BackendHealth &health);

    /// Adapts the limit to the end of an item.
    /// \param startEpoch epoch() when the item started
    /// \param completion how it ended; cancelled items are ignored
    /// \param slowOutlier whether it took much longer than usual for its pipeline
    void complete(LimitEpoch startEpoch, Completion completion, bool slowOutlier);

private:
    void enterColdStart();
    void recordSuccess(bool slowOutlier);
    void recordFailure(LimitEpoch startEpoch);
    void raiseLimit();
    /// Enters cold start because of completions. If the full limit had not been reached, more
    /// batches must succeed before the next increase.
    void reenterColdStart();
    std::uint32_t fullLimit() const;
    std::uint32_t coldLimit() const;

    AdmissionLimits m_limits;
    AdmissionPolicy m_policy;
    std::optional<framework::Incarnation> m_incarnation;
    bool m_ready = true;
    bool m_reportedCold = false;
    /// Whether the latest health report since cold start was assumed says that the backend server
    /// is warm; true as long as no report was ever received.
    bool m_warmConfirmed = true;
    bool m_cold = true;
    std::uint32_t m_limit = 0;
    std::uint32_t m_slowStartThreshold = 0;
    std::uint32_t m_successes = 0;
    /// Batches that must succeed before the limit is raised.
    std::uint32_t m_batchesPerStep = 1;
    std::uint32_t m_consecutiveFailures = 0;
    std::uint32_t m_consecutiveSlowOutliers = 0;
    LimitEpoch m_epoch;
    /// Epoch that began when cold start was last assumed.
    LimitEpoch m_coldStartEpoch;
    /// Epoch that began when the limit was last halved.
    LimitEpoch m_lastHalvingEpoch;
};

} // namespace lavendertally::admission
