#include "stages/internal/unitqueue.h"

#include "stages/internal/stagejobstate.h"

#include <algorithm>
#include <tuple>

namespace lavendertally::stages {

void UnitQueue::add(const StageUnit &unit)
{
    const bool known = std::any_of(m_units.begin(), m_units.end(), [&unit](const StageUnit &other) {
        return other.job == unit.job && other.stage == unit.stage;
    });
    if (!known) {
        m_units.push_back(unit);
    }
}

void UnitQueue::removeJob(const StageJobState &job)
{
    std::erase_if(m_units, [&job](const StageUnit &unit) { return unit.job == &job; });
}

void UnitQueue::removeEmpty()
{
    std::erase_if(m_units,
                  [](const StageUnit &unit) { return unit.job->waitingPieces(unit.stage) == 0; });
}

void UnitQueue::sort(framework::TimePoint now)
{
    const auto key = [now](const StageUnit &unit) {
        const bool late = now > unit.latestStart;
        return std::make_tuple(unit.notBefore > now, late, unit.rank);
    };
    std::stable_sort(m_units.begin(), m_units.end(),
                     [&key](const StageUnit &a, const StageUnit &b) { return key(a) < key(b); });
}

} // namespace lavendertally::stages
