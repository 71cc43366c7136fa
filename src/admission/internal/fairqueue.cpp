#include "admission/internal/fairqueue.h"

#include <algorithm>

namespace lavendertally::admission {

using configuration::PriorityClass;
using framework::TimePoint;

FairQueue::FairQueue(const AdmissionPolicy &policy) : m_policy(policy) { }

void FairQueue::add(const WaitingItem &item)
{
    classOf(item).add(item);
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
    classOf(item).remove(item);
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
    if (isBackgroundDue()) {
        return queueOf(PriorityClass::Background).front();
    }
    if (slot == SlotKind::Reserved) {
        const ClassQueue &interactive = queueOf(PriorityClass::Interactive);
        return interactive.isEmpty() ? std::nullopt : std::optional(interactive.front());
    }
    for (const ClassQueue &queue : m_classes) {
        if (!queue.isEmpty()) {
            return queue.front();
        }
    }
    return std::nullopt;
}

WaitingItem FairQueue::start(const WorkKey &key)
{
    WaitingItem item = m_items.at(key);
    classOf(item).start(item);
    eraseFromIndexes(item);
    const bool delaysBackground = item.work.priority != PriorityClass::Background
        && !queueOf(PriorityClass::Background).isEmpty();
    m_startsSinceBackground = delaysBackground ? m_startsSinceBackground + 1 : 0;
    return item;
}

const WorkKey &FairQueue::shedCandidate(std::size_t capacity) const
{
    const ClassQueue &background = queueOf(PriorityClass::Background);
    const std::size_t kept = capacity / std::max<std::uint32_t>(1, m_policy.backgroundQueueDivisor);
    if (background.size() > kept) {
        return background.shedCandidate();
    }
    for (const PriorityClass priority : {PriorityClass::Standard, PriorityClass::Interactive}) {
        if (!queueOf(priority).isEmpty()) {
            return queueOf(priority).shedCandidate();
        }
    }
    return background.shedCandidate();
}

std::size_t FairQueue::itemsAhead(const WorkItem &item) const
{
    const auto index = static_cast<std::size_t>(item.priority);
    const std::size_t inClass = m_classes[index].itemsAhead(item);
    std::size_t ahead = inClass;
    for (std::size_t higher = 0; higher < index; ++higher) {
        ahead += m_classes[higher].size();
    }
    if (item.priority != PriorityClass::Background) {
        return ahead;
    }
    return std::min<std::size_t>(ahead, (inClass + 1) * m_policy.backgroundStartInterval);
}

TimePoint FairQueue::nextExpiry() const
{
    return m_byLatestStart.empty() ? TimePoint::never() : m_byLatestStart.begin()->first;
}

ClassQueue &FairQueue::classOf(const WaitingItem &item)
{
    return m_classes[static_cast<std::size_t>(item.work.priority)];
}

const ClassQueue &FairQueue::queueOf(PriorityClass priority) const
{
    return m_classes[static_cast<std::size_t>(priority)];
}

bool FairQueue::isBackgroundDue() const
{
    return !queueOf(PriorityClass::Background).isEmpty()
        && m_startsSinceBackground + 1 >= m_policy.backgroundStartInterval;
}

void FairQueue::eraseFromIndexes(const WaitingItem &item)
{
    m_byLatestStart.erase({item.latestStart, item.work.key});
    m_items.erase(item.work.key);
}

} // namespace lavendertally::admission
