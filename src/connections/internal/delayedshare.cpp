#include "connections/internal/delayedshare.h"

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

} // namespace lavendertally::connections
