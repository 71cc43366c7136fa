#pragma once

#include "admission/internal/classqueue.h"
#include "admission/types/admissionpolicy.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lavendertally::admission {

/// Which classes the next free place is for.
enum class PlaceKind
{
    Any,
    /// Kept for PriorityClass::Interactive.
    Reserved,
};

/// Waiting items of all classes. Interactive goes before Standard, and Standard before Background,
/// but a waiting Background item gets at least one of a fixed number of starts.
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
    /// \return the keys of all items, which are removed
    std::vector<WorkKey> removeAll();
    /// \return the keys of all items with a last start before \p now, which are removed
    std::vector<WorkKey> removeLate(framework::TimePoint now);

    /// \return item that may take the next free place
    std::optional<WorkKey> front(PlaceKind place) const;
    /// Removes an item because it is started.
    WaitingItem start(const WorkKey &key);

    /// \param places waiting places, of which Background keeps its part
    /// \return item to give up when places are short; the queue is not empty
    const WorkKey &leastUrgent(std::size_t places) const;

    /// \return items that are expected to start before \p item would
    std::size_t aheadOf(const WorkItem &item) const;

    /// \return earliest last start of all items
    framework::TimePoint earliestLastStart() const;

private:
    static constexpr std::size_t ClassCount = 3;

    ClassQueue &classOf(const WaitingItem &item);
    const ClassQueue &queueOf(configuration::PriorityClass priority) const;
    bool isBackgroundDue() const;
    void forget(const WaitingItem &item);

    AdmissionPolicy m_policy;
    std::array<ClassQueue, ClassCount> m_classes;
    std::map<WorkKey, WaitingItem> m_items;
    std::set<std::pair<framework::TimePoint, WorkKey>> m_byLastStart;
    /// Starts of other classes while Background waited.
    std::uint32_t m_backgroundPassedOver = 0;
};

} // namespace lavendertally::admission
