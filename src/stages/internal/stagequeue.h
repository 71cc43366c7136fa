#pragma once

#include "framework/types/timepoint.h"
#include "stages/internal/queuedstage.h"

#include <vector>

namespace lavendertally::stages {

/// Stages that wait for backend servers of one service. Those that can still meet their objective
/// come first; within each group the order is earliest due date first (Jackson's rule) with a head
/// start for more urgent priority ranks.
class StageQueue
{
public:
    /// Adds a stage unless it is queued already.
    void add(const QueuedStage &queued);
    void removeJob(const StageJobState &job);
    void removeStage(const StageJobState &job, std::size_t stage);
    /// Removes the stages of which no piece waits to be sent.
    void removeFullySent();

    /// Sorts the stages into the order in which they are to be served at \p now. Those whose
    /// earliest start is in the future come last.
    void sort(framework::TimePoint now);
    /// \return queued stages in the order of the last sort(), then those added since
    const std::vector<QueuedStage> &stages() const { return m_stages; }
    bool isEmpty() const { return m_stages.empty(); }

private:
    std::vector<QueuedStage> m_stages;
};

} // namespace lavendertally::stages
