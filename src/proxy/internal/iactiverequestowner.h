#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "framework/types/units.h"

#include <cstdint>

namespace lavendertally::proxy {

class ActiveRequest;
class AnswerTimeEstimator;
class FirstEventEstimator;
class GatewayPlaces;
class HeldSources;
class TeamLabels;

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

    /// \return estimates of the time to the first event, shared by all requests
    virtual FirstEventEstimator &firstEvents() = 0;
    /// \return estimates of the time to the whole answer, shared by all requests
    virtual AnswerTimeEstimator &answerTimes() = 0;
    /// \return when the process ends; never() unless it is shutting down
    virtual framework::TimePoint end() const = 0;
    virtual HeldSources &heldSources() = 0;
    virtual TeamLabels &teamLabels() = 0;
    virtual GatewayPlaces &places() = 0;
};

} // namespace lavendertally::proxy
