#pragma once

#include "admission/internal/fairshare.h"
#include "admission/internal/waitingitem.h"
#include "framework/types/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>

namespace lavendertally::admission {

/// Waiting items of one rank. QueuePrecedence::Invested goes first. Else weighted fair queueing
/// between teams, weighted shares between the pipelines of a team; within a pipeline the rest of
/// QueuePrecedence, then the earliest deadline first.
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

    /// \return estimated number of waiting items of this rank that start before \p item
    std::size_t itemsAhead(const WaitingItem &item) const;
    /// \return number of those that are of the same team and pipeline
    std::size_t itemsAheadInPipeline(const WaitingItem &item) const;

private:
    using DeadlineOrder = std::set<std::tuple<QueuePrecedence, framework::TimePoint, WorkKey>>;

    struct TeamQueue
    {
        std::uint32_t share = 1;
        std::size_t size = 0;
        FairShare<framework::PipelineId> pipelineShares;
        std::map<framework::PipelineId, DeadlineOrder> pipelines;
    };
    using Teams = std::map<framework::TeamId, TeamQueue>;

    static DeadlineOrder::value_type positionOf(const WaitingItem &item);
    static bool isInvested(const DeadlineOrder &items);
    static const WorkKey &keyOf(const DeadlineOrder::value_type &position);
    static const DeadlineOrder &nextPipeline(const TeamQueue &team);
    static const DeadlineOrder &longestPipeline(const TeamQueue &team);

    std::size_t m_size = 0;
    FairShare<framework::TeamId> m_teamShares;
    Teams m_teams;
};

} // namespace lavendertally::admission
