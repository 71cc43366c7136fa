#include "connections/internal/serverconnections.h"

#include <algorithm>
#include <utility>

namespace lavendertally::connections {

ServerConnections::ServerConnections(framework::ServiceId service, const ConnectionLimits &limits)
    : m_limits(limits), m_service(std::move(service)), m_share(limits.raiseDelay)
{ }

void ServerConnections::opened()
{
    ++m_inUse;
    m_peakInUse = std::max(m_peakInUse, m_inUse);
}

void ServerConnections::borrow(std::uint32_t count, framework::TimePoint until)
{
    m_borrowed = count;
    m_borrowedUntil = until;
}

bool ServerConnections::takeWish(bool isWished, framework::TimePoint now, std::uint32_t &held,
                                 std::uint32_t &wanted)
{
    const std::uint32_t own = m_share.value();
    const std::uint32_t all = this->held(now);
    // What is borrowed for one call without a share is given back after it; see mayKeep().
    const std::uint32_t recent = own > 0 ? m_peakInUse : 0;
    const std::uint32_t needed = std::max(recent, m_inUse + m_waiting + (isWished ? 1 : 0));
    m_peakInUse = m_inUse;
    held = all - std::min(all, own);
    wanted = needed - std::min(needed, own);
    const bool isNews = held > 0 || wanted > 0 || m_isLenderInformed;
    m_isLenderInformed = held > 0 || wanted > 0;
    m_borrowed = std::min(m_borrowed, std::max(held, wanted));
    return isNews;
}

void ServerConnections::becameIdle()
{
    m_inUse -= m_inUse > 0 ? 1 : 0;
    ++m_idle;
}

void ServerConnections::reused()
{
    m_idle -= m_idle > 0 ? 1 : 0;
    opened();
}

void ServerConnections::closed(http::ConnectionClose state, framework::TimePoint now)
{
    std::uint32_t &count = state == http::ConnectionClose::Idle ? m_idle : m_inUse;
    count -= count > 0 ? 1 : 0;
    if (state == http::ConnectionClose::Rejected) {
        m_pausedUntil = now + m_limits.rejectionPause;
    }
    while (!m_closing.empty() && m_closing.front() <= now) {
        m_closing.pop_front();
    }
    m_closing.push_back(now + m_limits.closeHold);
}

std::uint32_t ServerConnections::held(framework::TimePoint now) const
{
    const auto closing = std::count_if(m_closing.begin(), m_closing.end(),
                                       [now](framework::TimePoint end) { return end > now; });
    return m_inUse + m_idle + static_cast<std::uint32_t>(closing);
}

std::uint32_t ServerConnections::openable(framework::TimePoint now) const
{
    if (now < m_pausedUntil) {
        return 0;
    }
    const std::uint32_t limit = share(now);
    return limit - std::min(limit, held(now));
}

bool ServerConnections::hasFree(framework::TimePoint now) const
{
    return m_idle + openable(now) > m_waiting;
}

bool ServerConnections::mayKeep(framework::TimePoint now) const
{
    const bool isWithinShare = m_inUse + m_idle <= share(now);
    return isWithinShare && (m_share.value() > 0 || m_waiting > 0);
}

framework::TimePoint ServerConnections::nextOpenable(framework::TimePoint now) const
{
    const std::uint32_t count = held(now);
    framework::TimePoint room = now;
    if (count >= share(now)) {
        // The holds that must end first are those of the connections over the share.
        std::size_t excess = count - share(now) + 1;
        room = framework::TimePoint::never();
        for (const framework::TimePoint end : m_closing) {
            if (end > now && --excess == 0) {
                room = end;
                break;
            }
        }
    }
    return std::max(room, m_pausedUntil);
}

} // namespace lavendertally::connections
