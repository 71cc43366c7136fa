#pragma once

#include "admission/internal/fairshare.h"
#include "admission/internal/waitingitem.h"
#include "framework/types/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace lavendertally::admission {

/// Waiting items of one priority class. Weighted fair queueing between teams, equal shares between
/// the pipelines of a team, earliest deadline first within a pipeline.
class ClassQueue
{
public:
    bool isEmpty() const { return m_size == 0; }
    std::size_t size() const { return m_size; }

    void add(const WaitingItem &item);
    void remove(const WaitingItem &item);

    /// Removes \p item because it starts, and charges its cost to its team and pipeline.
    void start(const WaitingItem &item);

    /// \return item to start next; the queue must not be empty
    const WorkKey &front() const;

    /// \return item to shed when the queue is over capacity: the latest deadline in the longest
    /// pipeline of the team with most waiting items per unit of share. The queue must not be empty.
    const WorkKey &shedCandidate() const;

    /// \return estimated number of waiting items of this class that start before \p item
    std::size_t itemsAhead(const WorkItem &item) const;

private:
    using DeadlineOrder = std::set<std::pair<framework::TimePoint, WorkKey>>;

    struct TeamQueue
    {
        std::uint32_t share = 1;
        std::size_t size = 0;
        FairShare<framework::PipelineId> pipelineShares;
        std::map<framework::PipelineId, DeadlineOrder> pipelines;
    };
    using Teams = std::map<framework::TeamId, TeamQueue>;

    static const DeadlineOrder &nextPipeline(const TeamQueue &team);
    static const DeadlineOrder &longestPipeline(const TeamQueue &team);

    std::size_t m_size = 0;
    FairShare<framework::TeamId> m_teamShares;
    Teams m_teams;
};

} // namespace lavendertally::admission
