#pragma once

#include "connections/internal/delayedshare.h"
#include "connections/types/connectionlimits.h"
#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "http/types/connectionclose.h"

#include <cstdint>
#include <deque>

namespace lavendertally::connections {

/// The connections of this gateway to one backend server.
class ServerConnections
{
public:
    ServerConnections(framework::ServiceId service, const ConnectionLimits &limits);

    const framework::ServiceId &service() const { return m_service; }
    void setService(framework::ServiceId service) { m_service = std::move(service); }

    DelayedShare &delayedShare() { return m_share; }
    /// \return connections that this gateway may hold, those borrowed included
    std::uint32_t share(framework::TimePoint now) const { return m_share.value() + borrowed(now); }
    /// \return connections that are lent to this gateway
    std::uint32_t borrowed(framework::TimePoint now) const
    {
        return now < m_borrowedUntil ? m_borrowed : 0;
    }
    void borrow(std::uint32_t count, framework::TimePoint until);
    /// What this gateway holds and wants beyond its own share. What is borrowed is lowered to that.
    /// \param isWished whether another connection is wanted beyond those that calls wait for
    /// \param held, wanted set to the numbers of connections
    /// \return whether the lender is to be told
    bool takeWish(bool isWished, framework::TimePoint now, std::uint32_t &held,
                  std::uint32_t &wanted);

    void opened();
    void becameIdle();
    void reused();
    void closed(http::ConnectionClose state, framework::TimePoint now);
    void waitStarted() { ++m_waiting; }
    void waitEnded() { m_waiting -= m_waiting > 0 ? 1 : 0; }

    std::uint32_t inUse() const { return m_inUse; }
    std::uint32_t idle() const { return m_idle; }
    std::uint32_t waiting() const { return m_waiting; }
    /// \return connections that the server may count, those just closed included
    std::uint32_t held(framework::TimePoint now) const;
    /// \return connections that may be opened now
    std::uint32_t openable(framework::TimePoint now) const;
    /// \return whether a connection is free that no call waits for
    bool hasFree(framework::TimePoint now) const;
    /// \return whether a connection may stay open without a call. A gateway that has no share of
    /// its own gives back at once what it has borrowed, since many others want it as well.
    bool mayKeep(framework::TimePoint now) const;
    /// \return when the next connection may be opened if none becomes idle before; never() if that
    /// depends on a call's end
    framework::TimePoint nextOpenable(framework::TimePoint now) const;

private:
    const ConnectionLimits &m_limits;
    framework::ServiceId m_service;
    DelayedShare m_share;
    std::uint32_t m_inUse = 0;
    std::uint32_t m_idle = 0;
    std::uint32_t m_waiting = 0;
    /// Most connections in use at once since the last wish.
    std::uint32_t m_peakInUse = 0;
    std::uint32_t m_borrowed = 0;
    framework::TimePoint m_borrowedUntil;
    /// Whether the lender counts connections of this gateway.
    bool m_isLenderInformed = false;
    /// When the connections closed last count no more, in order.
    std::deque<framework::TimePoint> m_closing;
    framework::TimePoint m_pausedUntil;
};

} // namespace lavendertally::connections
