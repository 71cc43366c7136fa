#pragma once

#include "admission/internal/classqueue.h"
#include "admission/types/queuepolicy.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace lavendertally::admission {

/// Which ranks may take a free slot.
enum class SlotKind
{
    /// Open to all ranks.
    Any,
    /// Reserved for QueuePolicy::reservedRank, or for an item of the protected rank that is due.
    Reserved,
};

/// Waiting items of all ranks. Lower ranks start first, but while items of the protected rank wait
/// they get at least one of every QueuePolicy::protectedStartInterval starts.
class FairQueue
{
public:
    explicit FairQueue(const QueuePolicy &policy);

    std::size_t size() const { return m_items.size(); }
    bool isEmpty() const { return m_items.empty(); }
    bool contains(const WorkKey &key) const { return m_items.contains(key); }
    /// \param key an item that waits
    const WaitingItem &find(const WorkKey &key) const { return m_items.at(key); }

    void add(const WaitingItem &item);
    /// \return whether it was waiting
    bool remove(const WorkKey &key);
    /// Removes all items.
    /// \return their keys
    std::vector<WorkKey> removeAll();
    /// Removes the items whose latest start is before \p now.
    /// \return their keys
    std::vector<WorkKey> removeExpired(framework::TimePoint now);

    /// \return item that may take the next free slot
    std::optional<WorkKey> front(SlotKind slot) const;
    /// Removes an item because it starts, and charges its team.
    WaitingItem start(const WorkKey &key);

    /// \param capacity items that may wait, of which the protected rank keeps its part
    /// \return item to shed when the queue is over capacity; the queue must not be empty
    const WorkKey &shedCandidate(std::size_t capacity) const;

    /// \return estimated number of waiting items that start before \p item
    std::size_t itemsAhead(const WaitingItem &item) const;
    /// \return number of waiting items of the same rank, team and pipeline that start before it
    std::size_t itemsAheadInPipeline(const WaitingItem &item) const;

    /// \return earliest of the latest starts of all items; TimePoint::never() if there is none
    framework::TimePoint nextExpiry() const;

private:
    using Ranks = std::map<framework::PriorityRank, ClassQueue>;

    /// \return queue of the protected rank if it has items, or null
    const ClassQueue *protectedItems() const;
    bool isProtectedRankDue() const;
    void eraseFromIndexes(const WaitingItem &item);

    QueuePolicy m_policy;
    /// Kept when empty, as their shares go on; there are few ranks.
    Ranks m_ranks;
    std::map<WorkKey, WaitingItem> m_items;
    std::set<std::pair<framework::TimePoint, WorkKey>> m_byLatestStart;
    /// Consecutive starts of other ranks while items of the protected rank waited.
    std::uint32_t m_startsSinceProtected = 0;
};

} // namespace lavendertally::admission
