#pragma once

#include "admission/types/placelimits.h"
#include "admission/types/placerequest.h"
#include "admission/types/returntiming.h"

#include <cstdint>
#include <deque>
#include <map>
#include <utility>

namespace lavendertally::framework {
class IRandom;
}

namespace lavendertally::admission {

/// Tells refused callers of one service when to return, and holds a place for each for a short
/// time. A return carries a new request id and may reach another gateway. It is recognised by its
/// identity where this gateway refused it. Otherwise it takes the place of any refusal of its route
/// and rank that is due: since callers pick gateways at random, each gateway is reached by about as
/// many returns as it has refused, whoever refused them.
class ReturnSchedule
{
public:
    /// The arguments must outlive this object.
    ReturnSchedule(framework::IRandom &random, const PlaceLimits &limits);

    struct Arrival
    {
        ReturnTiming timing = ReturnTiming::None;
        /// Whether the client seems to have made attempts before.
        bool isRepeated = false;
    };

    /// Finds out whether \p request returns after a refusal; if it is on time, it takes a place
    /// that is held.
    Arrival arrive(const PlaceRequest &request, framework::TimePoint now);

    /// Names a time to return to the client of a refused request.
    /// \param wait time until there is capacity for one more request
    /// \param interval time between two places that become free
    /// \param serviceTime expected time to serve the request
    /// \return time to name in the refusal; a place is held only if callers heed it and it leaves
    /// enough time to serve the request
    framework::Milliseconds promise(const PlaceRequest &request, framework::Milliseconds wait,
                                    framework::Milliseconds interval,
                                    framework::Milliseconds serviceTime, framework::TimePoint now);

    /// \return places held now that a newcomer of \p rank must leave free
    std::uint32_t held(framework::PriorityRank rank, framework::TimePoint now) const;
    /// \return whether no return is expected
    bool isIdle() const { return m_expected.empty(); }

private:
    struct Expected
    {
        std::uint64_t identity = 0;
        framework::RouteId route;
        framework::PriorityRank rank;
        framework::TimePoint refusedAt;
        framework::TimePoint due;

        bool isDue(framework::TimePoint now, framework::Milliseconds holdTime) const
        {
            return due <= now && now <= due + holdTime;
        }
    };

    void expire(framework::TimePoint now);
    ReturnTiming matchIdentity(const PlaceRequest &request, framework::TimePoint now);
    ReturnTiming matchAnonymously(const PlaceRequest &request, framework::Milliseconds elapsed,
                                  framework::TimePoint now);
    framework::Milliseconds elapsedSinceFirst(const PlaceRequest &request);
    void planPlaceAfter(framework::TimePoint place, framework::PriorityRank rank,
                        framework::Milliseconds interval);

    framework::IRandom &m_random;
    const PlaceLimits &m_limits;
    /// In the order of their refusals.
    std::deque<Expected> m_expected;
    /// When the place after those already promised becomes free.
    std::map<framework::PriorityRank, framework::TimePoint> m_nextDue;
    /// Longest time given by fresh requests, by team and route.
    std::map<std::pair<framework::TeamId, framework::RouteId>, framework::Milliseconds>
        m_usualTimes;
};

} // namespace lavendertally::admission
