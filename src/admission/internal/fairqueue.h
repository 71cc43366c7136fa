#pragma once

#include "admission/internal/classqueue.h"
#include "admission/types/admissionpolicy.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lavendertally::admission {

/// Which priority classes may take a free slot.
enum class SlotKind
{
    /// Open to all classes.
    Any,
    /// Reserved for PriorityClass::Interactive, or for a Background item that is due.
    Reserved,
};

/// Waiting items of all priority classes. Interactive starts before Standard and Standard before
/// Background, but while Background items wait they get at least one of every
/// AdmissionPolicy::backgroundStartInterval starts.
class FairQueue
{
public:
    explicit FairQueue(const AdmissionPolicy &policy);

    std::size_t size() const { return m_items.size(); }
    bool isEmpty() const { return m_items.empty(); }
    bool contains(const WorkKey &key) const { return m_items.contains(key); }

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

    /// \param capacity items that may wait, of which Background keeps its part
    /// \return item to shed when the queue is over capacity; the queue must not be empty
    const WorkKey &shedCandidate(std::size_t capacity) const;

    /// \return estimated number of waiting items that start before \p item
    std::size_t itemsAhead(const WorkItem &item) const;

    /// \return earliest of the latest starts of all items; TimePoint::never() if there is none
    framework::TimePoint nextExpiry() const;

private:
    static constexpr std::size_t ClassCount = 3;

    ClassQueue &classOf(const WaitingItem &item);
    const ClassQueue &queueOf(configuration::PriorityClass priority) const;
    bool isBackgroundDue() const;
    void eraseFromIndexes(const WaitingItem &item);

    AdmissionPolicy m_policy;
    std::array<ClassQueue, ClassCount> m_classes;
    std::map<WorkKey, WaitingItem> m_items;
    std::set<std::pair<framework::TimePoint, WorkKey>> m_byLatestStart;
    /// Consecutive starts of other classes while Background items waited.
    std::uint32_t m_startsSinceBackground = 0;
};

} // namespace lavendertally::admission
