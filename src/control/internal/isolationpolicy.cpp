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
    m_lastClaim = now;
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
    // A revision that nobody has claimed for long cannot be held against this process for ever.
    const bool claimed = now - m_lastClaim <= m_limits.maxSilence;
    return claimed && m_behindSince && now - *m_behindSince > m_limits.maxBehind;
}

} // namespace lavendertally::control
