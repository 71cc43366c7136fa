#include "stages/internal/waitingpieces.h"

namespace lavendertally::stages {

namespace {

/// Due times this close count as the same; short compared to the duration of a call.
constexpr framework::Milliseconds Resolution{16};

std::int64_t slotOf(framework::TimePoint due)
{
    return due.sinceEpoch() / Resolution.value();
}

} // namespace

void WaitingPieces::change(const framework::ServiceId &service, framework::TimePoint due,
                           std::int64_t change)
{
    Counts &counts = m_counts[service];
    const auto slot = counts.try_emplace(slotOf(due), 0).first;
    slot->second += change;
    if (slot->second == 0) {
        counts.erase(slot);
    }
}

std::int64_t WaitingPieces::dueBy(const framework::ServiceId &service,
                                  framework::TimePoint due) const
{
    const auto counts = m_counts.find(service);
    if (counts == m_counts.end()) {
        return 0;
    }
    std::int64_t total = 0;
    const auto end = counts->second.upper_bound(slotOf(due));
    for (auto slot = counts->second.begin(); slot != end; ++slot) {
        total += slot->second;
    }
    return total;
}

} // namespace lavendertally::stages
