#pragma once

#include "framework/types/endpoint.h"
#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "protocol/types/connectionlease.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace lavendertally::connections {

/// Connections that this gateway wants, has borrowed, and may lend.
class ILeaseBook
{
public:
    virtual ~ILeaseBook() = default;

    /// \return the connections beyond this gateway's share that it holds and wants, by server. What
    /// it has borrowed before is lowered to that at once, since the lender counts on it.
    virtual std::vector<protocol::ConnectionLease> takeWishes(framework::TimePoint now) = 0;

    /// Adds what was lent to this gateway; it replaces what was lent before.
    /// \param asked when it was asked for
    virtual void addLeases(const std::vector<protocol::ConnectionLease> &leases,
                           framework::TimePoint asked) = 0;

    /// \return connections to \p server that this gateway may lend, those lent included
    virtual std::uint32_t lendable(const framework::Endpoint &server,
                                   const framework::ServiceId &service,
                                   framework::TimePoint now) = 0;

    /// \param listener called within each call that finds that a connection is wanted, or can be
    /// given back; told from when on takeWishes() is worth while
    virtual void setWishListener(std::function<void(framework::TimePoint at)> listener) = 0;
};

} // namespace lavendertally::connections
