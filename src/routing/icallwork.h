#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "routing/types/callnumber.h"
#include "routing/types/calloutcome.h"
#include "routing/types/serverquery.h"
#include "routing/types/serverworkview.h"

#include <cstddef>
#include <vector>

namespace lavendertally::routing {

/// Takes in what calls to backend servers cost. It knows the work that is outstanding and learns
/// the speed of the servers and the length of answers.
class ICallWork
{
public:
    virtual ~ICallWork() = default;

    /// Reports a call that was sent to \p server.
    /// \param query the one by which \p server was selected
    /// \return number of the call, for the other functions
    virtual CallNumber started(const framework::BackendServerId &server, const ServerQuery &query,
                               framework::TimePoint now) = 0;

    /// Reports one event of a streamed answer.
    virtual void eventReceived(CallNumber call, framework::TimePoint now) = 0;

    /// Reports the end of a call. Numbers that are not known are ignored, so that a call can end
    /// for two reasons.
    virtual void ended(CallNumber call, CallOutcome outcome, framework::TimePoint now) = 0;

    /// \param limit most backend servers in the result
    /// \return backend servers with the most outstanding work first
    virtual std::vector<ServerWorkView> outstanding(std::size_t limit,
                                                    framework::TimePoint now) const = 0;
};

} // namespace lavendertally::routing
