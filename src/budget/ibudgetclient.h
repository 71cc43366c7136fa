#pragma once

#include "budget/types/cause.h"
#include "budget/types/clientstanding.h"
#include "framework/types/timepoint.h"

namespace lavendertally::budget {

/// A client's connection, which may have to give way to others.
class IBudgetClient
{
public:
    virtual ~IBudgetClient() = default;

    virtual ClientStanding standing(framework::TimePoint now) const = 0;
    /// Ends the request that is being sent, or the connection, and gives back what it holds before
    /// this returns. Called for a standing that is not Busy.
    /// \return false if a request has arrived meanwhile, so that nothing was ended; the standing is
    /// Busy then until the request has been read
    virtual bool giveWay(Cause cause) = 0;
};

} // namespace lavendertally::budget
