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

/// Waiting items of one priority class: weighted fair between teams, fair between the pipelines
/// of a team, earliest deadline first within a pipeline.
class ClassQueue
{
public:
    bool isEmpty() const { return m_size == 0; }
    std::size_t size() const { return m_size; }

    void add(const WaitingItem &item);
    void remove(const WaitingItem &item);

    /// Removes \p item because it is started, and charges its team.
    void start(const WaitingItem &item);

    /// \return item to start next; the queue is not empty
    const WorkKey &front() const;

    /// \return item to give up when places are short: of the team with most waiting items for its
    /// share and its longest pipeline, the one with the latest deadline; the queue is not empty
    const WorkKey &leastUrgent() const;

    /// \return items of this class that are expected to start before \p item would
    std::size_t aheadOf(const WorkItem &item) const;

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
