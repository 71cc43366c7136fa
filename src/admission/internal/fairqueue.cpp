#include "admission/internal/fairqueue.h"

#include <algorithm>

namespace lavendertally::admission {

using framework::TimePoint;

FairQueue::FairQueue(const QueuePolicy &policy) : m_policy(policy) { }

void FairQueue::add(const WaitingItem &item)
{
    m_ranks[item.rank].add(item);
    m_byLatestStart.emplace(item.latestStart, item.work.key);
    m_items.emplace(item.work.key, item);
}

bool FairQueue::remove(const WorkKey &key)
{
    const auto found = m_items.find(key);
    if (found == m_items.end()) {
        return false;
    }
    const WaitingItem item = found->second;
    m_ranks[item.rank].remove(item);
    eraseFromIndexes(item);
    return true;
}

std::vector<WorkKey> FairQueue::removeAll()
{
    std::vector<WorkKey> keys;
    while (!m_items.empty()) {
        keys.push_back(m_items.begin()->first);
        remove(keys.back());
    }
    return keys;
}

std::vector<WorkKey> FairQueue::removeExpired(TimePoint now)
{
    std::vector<WorkKey> keys;
    while (!m_byLatestStart.empty() && m_byLatestStart.begin()->first < now) {
        keys.push_back(m_byLatestStart.begin()->second);
        remove(keys.back());
    }
    return keys;
}

std::optional<WorkKey> FairQueue::front(SlotKind slot) const
{
    if (isProtectedRankDue()) {
        return protectedItems()->front();
    }
    for (const auto &[rank, queue] : m_ranks) {
        const bool mayStart = slot == SlotKind::Any || rank == m_policy.reservedRank;
        if (mayStart && !queue.isEmpty()) {
            return queue.front();
        }
    }
    return std::nullopt;
}

WaitingItem FairQueue::start(const WorkKey &key)
{
    WaitingItem item = m_items.at(key);
    m_ranks[item.rank].start(item);
    eraseFromIndexes(item);
    const bool delaysProtected = item.rank != m_policy.protectedRank && protectedItems() != nullptr;
    m_startsSinceProtected = delaysProtected ? m_startsSinceProtected + 1 : 0;
    return item;
}

const WorkKey &FairQueue::shedCandidate(std::size_t capacity) const
{
    const ClassQueue *kept = protectedItems();
    const std::size_t keptSize =
        capacity / std::max<std::uint32_t>(1, m_policy.protectedQueueDivisor);
    if (kept != nullptr && kept->size() > keptSize) {
        return kept->shedCandidate();
    }
    const auto found = std::find_if(m_ranks.rbegin(), m_ranks.rend(), [this](const auto &entry) {
        return entry.first != m_policy.protectedRank && !entry.second.isEmpty();
    });
    return found != m_ranks.rend() ? found->second.shedCandidate() : kept->shedCandidate();
}

std::size_t FairQueue::itemsAhead(const WaitingItem &item) const
{
    std::size_t inRank = 0;
    std::size_t ahead = 0;
    for (const auto &[rank, queue] : m_ranks) {
        if (rank < item.rank) {
            ahead += queue.size();
        } else if (rank == item.rank) {
            inRank = queue.itemsAhead(item);
            ahead += inRank;
        }
    }
    if (item.rank != m_policy.protectedRank) {
        return ahead;
    }
    return std::min<std::size_t>(ahead, (inRank + 1) * m_policy.protectedStartInterval);
}

std::size_t FairQueue::itemsAheadInPipeline(const WaitingItem &item) const
{
    const auto found = m_ranks.find(item.rank);
    return found == m_ranks.end() ? 0 : found->second.itemsAheadInPipeline(item);
}

TimePoint FairQueue::nextExpiry() const
{
    return m_byLatestStart.empty() ? TimePoint::never() : m_byLatestStart.begin()->first;
}

const ClassQueue *FairQueue::protectedItems() const
{
    if (!m_policy.protectedRank) {
        return nullptr;
    }
    const auto found = m_ranks.find(*m_policy.protectedRank);
    return found != m_ranks.end() && !found->second.isEmpty() ? &found->second : nullptr;
}

bool FairQueue::isProtectedRankDue() const
{
    return protectedItems() != nullptr
        && m_startsSinceProtected + 1 >= m_policy.protectedStartInterval;
}

void FairQueue::eraseFromIndexes(const WaitingItem &item)
{
    m_byLatestStart.erase({item.latestStart, item.work.key});
    m_items.erase(item.work.key);
}

} // namespace lavendertally::admission
