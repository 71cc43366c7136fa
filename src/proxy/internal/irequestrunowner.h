#pragma once

#include "framework/types/ids.h"
#include "framework/types/units.h"

#include <cstdint>

namespace lavendertally::proxy {

class RequestRun;

/// What a run needs from the service that keeps it.
class IRequestRunOwner
{
public:
    virtual ~IRequestRunOwner() = default;

    /// The run has ended; it is destroyed later.
    virtual void onRunEnded(RequestRun &run) = 0;

    /// \return worth of a request of this size against the usual one of its route, in hundredths
    virtual std::uint32_t worthOf(const framework::RouteId &route, framework::TokenCount size) = 0;
};

} // namespace lavendertally::proxy
