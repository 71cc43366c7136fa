#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/units.h"

#include <cstdint>

namespace lavendertally::proxy {

class RequestRun;

/// What a run needs from the service that keeps it.
class IRequestRunOwner
{
public:
    virtual ~IRequestRunOwner() = default;

    /// \return whether new requests are refused
    virtual bool isDraining() const = 0;

    /// The run has ended; it is destroyed later.
    virtual void onRunEnded(RequestRun &run) = 0;

    /// \return worth of a request of this size against the usual one of its route, in hundredths
    virtual std::uint32_t worthOf(const framework::RouteId &route, framework::TokenCount size) = 0;

    /// \return usual time from an attempt to the first event of its stream
    virtual framework::Milliseconds firstEventTime(const framework::RouteId &route) const = 0;
    virtual void observeFirstEvent(const framework::RouteId &route,
                                   framework::Milliseconds taken) = 0;
};

} // namespace lavendertally::proxy
