#pragma once

#include "admission/internal/demandshares.h"
#include "admission/internal/fairqueue.h"
#include "admission/internal/returnschedule.h"
#include "admission/internal/serviceload.h"
#include "admission/internal/servicetimeestimator.h"
#include "admission/types/placedecision.h"
#include "admission/types/placelimits.h"
#include "admission/types/placerequest.h"

#include <map>
#include <vector>

namespace lavendertally::admission {

/// Decides on the requests of one gateway for the places at one service: which go on at once, which
/// wait in which order, and which are refused with a time to return.
class ServicePlaces
{
public:
    /// All arguments must outlive this object.
    ServicePlaces(const framework::ServiceId &service, const IServiceCapacity &capacity,
                  framework::IRandom &random, const PlaceLimits &limits);

    PlaceDecision offer(const PlaceRequest &request, framework::TimePoint now);
    ReturnTiming noteArrival(const PlaceRequest &request, framework::TimePoint now);
    void cancelWaiting(const WorkKey &key);
    void answered(const PlaceRequest &request, framework::Milliseconds serviceTime,
                  framework::TimePoint now);
    framework::Milliseconds returnTime(const PlaceRequest &request, framework::Milliseconds wait,
                                       framework::TimePoint now);
    /// Appends the decisions that have become due.
    void takeDecisions(framework::TimePoint now, std::vector<PlaceDecision> &decisions);

    ServiceLoad &load() { return m_load; }
    bool hasWaiting() const { return !m_queue.isEmpty(); }

private:
    WaitingItem waitingItem(const PlaceRequest &request, ReturnTiming timing,
                            framework::TimePoint now) const;
    PlaceDecision enqueue(const PlaceRequest &request, const WaitingItem &item,
                          framework::TimePoint now);
    PlaceDecision refuse(const PlaceRequest &request, PlaceRefusal cause, framework::TimePoint now);
    /// \param given places that have been given, but are not taken yet
    bool hasPlace(framework::PriorityRank rank, QueuePrecedence precedence, std::uint32_t given,
                  framework::TimePoint now);
    /// Refuses waiting requests that more urgent arrivals have left no time.
    void refuseHopeless(framework::TimePoint now, std::vector<PlaceDecision> &decisions);
    std::size_t queueCapacity() const;
    framework::Milliseconds expectedWait(std::size_t ahead) const;
    framework::Milliseconds expectedWaitOf(const WaitingItem &item) const;

    const PlaceLimits &m_limits;
    ServiceLoad m_load;
    ServiceTimeEstimator m_serviceTimes;
    DemandShares m_demand;
    ReturnSchedule m_returns;
    FairQueue m_queue;
    std::map<WorkKey, PlaceRequest> m_waiting;
    /// Refusals that takeDecisions() has not returned yet.
    std::vector<PlaceDecision> m_deferred;
};

} // namespace lavendertally::admission
