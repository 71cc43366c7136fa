#pragma once

#include "connections/types/connectionlimits.h"
#include "framework/types/endpoint.h"
#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "protocol/types/connectionlease.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace lavendertally::connections {

/// Connections that this gateway has lent. Those lent to a gateway that falls silent count until
/// its lease has lapsed and all calls on them have ended.
class LeaseLender
{
public:
    explicit LeaseLender(const ConnectionLimits &limits) : m_limits(limits) { }

    /// \return whether a request is newer than all before it of the same borrower
    bool accepts(const framework::DaemonId &borrower, std::uint64_t sequence);

    /// \param wish what \p borrower holds and wants; it replaces what it was lent before
    /// \param lendable connections to the server that may be lent in all
    /// \return connections that are lent
    std::uint32_t lend(const framework::DaemonId &borrower, const protocol::ConnectionLease &wish,
                       std::uint32_t lendable, framework::TimePoint now);

    /// Forgets what has lapsed.
    void expire(framework::TimePoint now);
    /// \return servers of which connections are lent
    std::size_t lentServers() const { return m_lent.size(); }

private:
    struct Lent
    {
        std::uint32_t count = 0;
        framework::TimePoint until;
    };

    ConnectionLimits m_limits;
    std::map<framework::Endpoint, std::map<framework::DaemonId, Lent>> m_lent;
    std::map<framework::DaemonId, std::uint64_t> m_sequences;
};

} // namespace lavendertally::connections
