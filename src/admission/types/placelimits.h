#pragma once

#include "framework/types/milliseconds.h"

#include <cstddef>
#include <cstdint>

namespace lavendertally::admission {

/// Limits of IPlaceAdmission.
struct PlaceLimits
{
    /// Requests that may wait for a service, as a multiple of those that may be in flight. Callers
    /// allow a few times the time of one answer, and those that are refused return within a third
    /// of it; a longer queue would leave nothing to promise them.
    std::uint32_t queuePerPlace = 2;
    std::size_t minQueue = 8;
    /// Bounds memory: each waiting request holds its body.
    std::size_t maxQueue = 256;
    /// Age from which a load report says nothing. Reports come with each answer.
    framework::Milliseconds reportLifetime{1000};
    /// Age of the last report from which a service that answers without one counts as not
    /// reporting.
    framework::Milliseconds reportingLifetime{3000};
    /// How often the load is estimated anew.
    framework::Milliseconds refreshInterval{10};
    /// Age of a report from which its free places are divided again.
    framework::Milliseconds allowanceLifetime{250};
    /// Time after which the limit is doubled while no server reports its load.
    framework::Milliseconds uninformedDoubling{250};
    /// For how long a server that refused a call for lack of capacity counts as full.
    framework::Milliseconds refusalLifetime{200};
    /// For how long a place is held for a caller that was told to return: callers return within
    /// some tens of milliseconds of the time that they were told.
    framework::Milliseconds holdTime{200};
    /// Smallest interval over which returns are spread.
    framework::Milliseconds minSpread{20};
    /// Shortest Retry-After, so that a refused caller does not return into the same overload.
    framework::Milliseconds minRetryAfter{50};
    /// Callers ignore a Retry-After of more than one of this many parts of their time left.
    std::int64_t retryAfterDivisor = 3;
    /// Refusals of a service that are remembered.
    std::size_t maxExpectedReturns = 512;
    /// Pairs of team and route whose usual time given is remembered.
    std::size_t maxUsualTimes = 1024;
};

} // namespace lavendertally::admission
