#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "rollout/types/answerquality.h"

namespace lavendertally::rollout {

/// Receives what answers of backend servers say of their versions.
class IRolloutObserver
{
public:
    virtual ~IRolloutObserver() = default;

    /// Reports a whole answer, the first event of a stream, or that one of these did not come.
    /// \param route what the request has in common with others whose answers take as long
    /// \param time from the call to the answer, or to the first event of a stream
    virtual void answered(const framework::BackendServerId &server, const framework::RouteId &route,
                          AnswerQuality quality, framework::Milliseconds time) = 0;
};

} // namespace lavendertally::rollout
