#include "standins/coldstartmodel.h"

#include "framework/iclock.h"

#include <algorithm>

namespace lavendertally::standins {

ColdStartModel::ColdStartModel(const framework::IClock &clock, const ColdStartOptions &options)
    : m_clock(clock), m_options(options), m_cold(options.startsCold), m_coldSince(clock.now())
{ }

void ColdStartModel::restart()
{
    m_incarnation = m_incarnation.next();
    m_calls = 0;
    turnCold();
}

void ColdStartModel::turnCold()
{
    m_cold = true;
    m_coldSince = m_clock.now();
    m_completedWhileCold = 0;
    m_callsBeforeCold = m_calls;
}

bool ColdStartModel::beginCall()
{
    ++m_calls;
    if (!isCold()) {
        return true;
    }
    const std::uint32_t coldCalls = m_calls - m_callsBeforeCold;
    m_maxCallsWhileCold = std::max(m_maxCallsWhileCold, coldCalls);
    if (coldCalls <= m_options.limit) {
        return true;
    }
    fallOver();
    return false;
}

void ColdStartModel::endCall(bool completed)
{
    if (m_calls > 0) {
        --m_calls;
    }
    if (m_callsBeforeCold > 0) {
        --m_callsBeforeCold;
        return;
    }
    if (m_cold && completed && ++m_completedWhileCold >= m_options.warmAfterCalls) {
        m_cold = false;
    }
}

bool ColdStartModel::isCold() const
{
    const bool warmByTime = m_options.warmAfter > framework::Milliseconds(0)
        && m_clock.now() - m_coldSince >= m_options.warmAfter;
    return m_cold && !warmByTime;
}

bool ColdStartModel::isReady() const
{
    return m_clock.now() >= m_readyAt;
}

void ColdStartModel::fallOver()
{
    ++m_overloads;
    restart();
    m_readyAt = m_clock.now() + m_options.recovery;
}

} // namespace lavendertally::standins
