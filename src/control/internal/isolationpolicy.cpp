#include "control/internal/isolationpolicy.h"

#include <algorithm>

namespace lavendertally::control {

IsolationPolicy::IsolationPolicy(const IsolationLimits &limits, framework::TimePoint now)
    : m_limits(limits), m_lastContact(now)
{ }

void IsolationPolicy::noteContact(framework::LogOffset seen, framework::LogOffset own,
                                  framework::TimePoint now)
{
    m_newest = std::max(m_newest, seen);
    if (seen == own) {
        m_lastContact = now;
    }
    if (seen <= own) {
        return;
    }
    m_lastNewerSeen = now;
    if (!m_behindSince) {
        m_behindSince = now;
    }
}

void IsolationPolicy::noteAdvance(framework::LogOffset own)
{
    if (own >= m_newest) {
        m_behindSince.reset();
    }
}

bool IsolationPolicy::isIsolated(framework::TimePoint now) const
{
    if (now - m_lastContact > m_limits.maxSilence) {
        return true;
    }
    // A newer revision that nobody has reported within maxSilence no longer counts, so that a
    // single wrong report cannot isolate this process for ever.
    const bool recentlySeen = now - m_lastNewerSeen <= m_limits.maxSilence;
    return recentlySeen && m_behindSince && now - *m_behindSince > m_limits.maxBehind;
}

} // namespace lavendertally::control
