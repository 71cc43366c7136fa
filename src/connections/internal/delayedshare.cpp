#include "connections/internal/delayedshare.h"

#include <algorithm>

namespace lavendertally::connections {

void DelayedShare::update(std::uint32_t target, framework::TimePoint now)
{
    if (!m_value || target <= *m_value) {
        m_value = target;
        m_pending = 0;
        return;
    }
    if (target != m_pending) {
        m_pending = target;
        m_pendingSince = now;
        return;
    }
    if (now - m_pendingSince >= m_raiseDelay) {
        m_value = target;
        m_pending = 0;
    }
}

void DelayedShare::limit(std::uint32_t limit, std::uint32_t target, framework::TimePoint since)
{
    if (!m_value) {
        m_value = limit;
        m_pending = target;
        m_pendingSince = since;
        return;
    }
    m_value = std::min(*m_value, limit);
}

} // namespace lavendertally::connections
