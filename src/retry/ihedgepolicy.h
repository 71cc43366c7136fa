#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"
#include "retry/types/hedgequery.h"

#include <optional>

namespace lavendertally::retry {

/// Decides when a hedged request is sent: a second attempt of a stage at another backend server
/// while the first one is still in flight. The first result is used and the other attempt is
/// cancelled.
class IHedgePolicy
{
public:
    virtual ~IHedgePolicy() = default;

    /// Reports that a first attempt was sent to \p service; it adds to the hedge budget.
    virtual void recordFirstAttempt(const framework::ServiceId &service,
                                    framework::TimePoint now) = 0;

    /// Reports a finished stage.
    /// \param latency time from sending the first attempt to the stage's result
    virtual void observe(const framework::PipelineId &pipeline, const framework::StageId &stage,
                         framework::Milliseconds latency, framework::TimePoint now) = 0;

    /// Call it when the first attempt is sent.
    /// \return time to wait for its result before the hedge is sent; nothing when the stage is not
    /// hedged
    virtual std::optional<framework::Milliseconds> hedgeDelay(const HedgeQuery &query,
                                                              framework::TimePoint now) const = 0;

    /// Call it when hedgeDelay() has passed without a result. Takes one hedge from the budget.
    /// \return whether the hedge may be sent
    virtual bool tryAcquireHedge(const HedgeQuery &query, framework::TimePoint now) = 0;
};

} // namespace lavendertally::retry
