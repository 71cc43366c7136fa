#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/units.h"

#include <cstdint>

namespace lavendertally::proxy {

class ActiveRequest;

/// What a request in flight needs from the service that owns it.
class IActiveRequestOwner
{
public:
    virtual ~IActiveRequestOwner() = default;

    /// \return whether new requests are refused
    virtual bool isDraining() const = 0;

    /// The request has ended. The owner destroys it later, not within this call.
    virtual void onRequestEnded(ActiveRequest &request) = 0;

    /// Updates the average request size of the route.
    /// \param size weighted number of tokens
    /// \return worth of a request of this size relative to an average one of its route, in
    /// hundredths
    virtual std::uint32_t relativeWorth(const framework::RouteId &route,
                                        framework::TokenCount size) = 0;

    /// \return average time from the start of an attempt to the first event of its stream
    virtual framework::Milliseconds firstEventTime(const framework::RouteId &route) const = 0;
    /// Updates the average that firstEventTime() returns.
    virtual void observeFirstEvent(const framework::RouteId &route,
                                   framework::Milliseconds taken) = 0;
};

} // namespace lavendertally::proxy
