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
/// congestion avoidance of RFC 5681, sections 3.1 and 3.2, with a batch of as many successful
/// completions as the limit in place of a round trip: it doubles after a batch up to a threshold,
/// then grows by one for each batch, and halves on a failure, once for each batch. After a turn to
/// cold start it also waits for a health report that says otherwise, if there ever was a report.
class ColdStartLimit
{
public:
    ColdStartLimit(const AdmissionLimits &limits, const AdmissionPolicy &policy);

    /// \return calls that may run now; zero while the backend server is not ready
    std::uint32_t limit() const { return m_ready ? m_limit : 0; }
    /// \return whether no full batch has succeeded since the backend server last turned cold
    bool isCold() const { return m_cold; }
    LimitEpoch epoch() const { return m_epoch; }
    framework::Incarnation incarnation() const;

    void setLimits(const AdmissionLimits &limits);
    void observeHealth(const BackendHealth &health);

    /// \param startedIn epoch when the work was started
    /// \param farAboveUsual whether it took far longer than its kind does
    void complete(LimitEpoch startedIn, Completion completion, bool farAboveUsual);

private:
    void turnCold();
    void succeed(bool farAboveUsual);
    void fail(LimitEpoch startedIn);
    void grow();
    void relapse();
    std::uint32_t fullLimit() const;
    std::uint32_t coldLimit() const;

    AdmissionLimits m_limits;
    AdmissionPolicy m_policy;
    std::optional<framework::Incarnation> m_incarnation;
    bool m_ready = true;
    bool m_reportedCold = false;
    /// Whether no report is needed or one has said since the turn that it is warm.
    bool m_confirmedWarm = true;
    bool m_cold = true;
    std::uint32_t m_limit = 0;
    std::uint32_t m_threshold = 0;
    std::uint32_t m_successes = 0;
    std::uint32_t m_batchesPerStep = 1;
    std::uint32_t m_failuresInRow = 0;
    std::uint32_t m_slowInRow = 0;
    LimitEpoch m_epoch;
    /// Epoch in which the backend server last turned cold.
    LimitEpoch m_coldSince;
    LimitEpoch m_halvedIn;
};

} // namespace lavendertally::admission
