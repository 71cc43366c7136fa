#pragma once

#include "framework/types/timepoint.h"
#include "stages/internal/stageunit.h"

#include <vector>

namespace lavendertally::stages {

/// Units of one pool that wait, and the order in which they are served: what can still meet its
/// objective first, and by due date with a lead for the more urgent (earliest due date first).
class UnitQueue
{
public:
    void add(const StageUnit &unit);
    void removeJob(const StageJobState &job);
    /// Drops units whose pieces have all been sent.
    void removeEmpty();

    /// Brings the units into the order in which they are to be served now; those that wait on
    /// purpose come last.
    void sort(framework::TimePoint now);
    const std::vector<StageUnit> &units() const { return m_units; }
    bool isEmpty() const { return m_units.empty(); }

private:
    std::vector<StageUnit> m_units;
};

} // namespace lavendertally::stages
