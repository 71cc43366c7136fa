#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"
#include "retry/types/hedgequery.h"

#include <optional>

namespace lavendertally::retry {

/// Decides when a second attempt of a stage is sent to another backend server while the first one
/// runs; whichever answers first counts, and the other one is cancelled.
class IHedgePolicy
{
public:
    virtual ~IHedgePolicy() = default;

    /// A first attempt was sent.
    virtual void recordFirstAttempt(const framework::ServiceId &service,
                                    framework::TimePoint now) = 0;

    /// \param latency time from sending the first attempt to the stage's result
    virtual void observe(const framework::PipelineId &pipeline, const framework::StageId &stage,
                         framework::Milliseconds latency, framework::TimePoint now) = 0;

    /// Call it when the first attempt is sent.
    /// \return time to wait for its answer before a hedge; nothing when the stage gets none
    virtual std::optional<framework::Milliseconds> hedgeDelay(const HedgeQuery &query,
                                                              framework::TimePoint now) const = 0;

    /// Call it when hedgeDelay() is over and no answer came.
    /// \return whether the budget paid for a hedge
    virtual bool tryAcquireHedge(const HedgeQuery &query, framework::TimePoint now) = 0;
};

} // namespace lavendertally::retry
