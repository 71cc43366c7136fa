#include "replication/storeavailability.h"

#include <algorithm>
#include <utility>

namespace lavendertally::replication {

void StoreAvailability::noteAnswered(framework::TimePoint asked)
{
    m_answered = std::max(m_answered.value_or(asked), asked);
}

void StoreAvailability::noteOwnAnswer(framework::TimePoint asked, framework::TimePoint now)
{
    const bool hadTrouble = std::exchange(m_hasTrouble, false);
    if (hadTrouble && m_answered && now - *m_answered >= MinStoreOutage) {
        m_lastOutage = StoreOutage{*m_answered, now};
    }
    noteAnswered(asked);
}

} // namespace lavendertally::replication
