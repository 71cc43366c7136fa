#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/units.h"

#include <cstdint>

namespace lavendertally::stages {

/// Tuning parameters of the stage coordinator.
struct StageCoordinatorOptions
{
    /// Attempts per piece including the first; more would outlast most deadlines.
    std::uint32_t maxPieceAttempts = 4;
    /// How often the inputs of one stage may be lost before its job is given up.
    std::uint32_t maxInputLosses = 4;
    /// Timeout of a call as a multiple of its expected duration.
    double timeoutFactor = 1.6;
    /// Added to the timeout of each call to cover a few network round trips.
    framework::Milliseconds timeoutSlack{200};
    /// How long a backend server gets no calls after it refused one.
    framework::Milliseconds refusalBackoff{50};
    /// How long a backend server gets no calls after a failed one; doubles with each consecutive
    /// failure up to maxEjectionTime.
    framework::Milliseconds minEjectionTime{500};
    framework::Milliseconds maxEjectionTime{4000};
    /// How long the storage for a result counts as occupied after the backend server had none left
    /// for it.
    framework::Milliseconds storageFullHoldTime{1500};
    /// How long the reported holdings of another coordinator stay valid; a few times the interval
    /// of its reports.
    framework::Milliseconds peerHoldingsLifetime{500};
    /// Bounds of the retry delay that refused requests are given.
    framework::Milliseconds minRetryAfter{100};
    framework::Milliseconds maxRetryAfter{2000};
    /// Lateness at which a started job is given up: beyond it, a late result is worth less than the
    /// capacity that its remaining pieces take from other jobs.
    framework::Milliseconds maxLateness{2000};
    /// Attainment (share of jobs that met their objective) by which a route may fall behind one of
    /// the next more urgent priority rank before the two count as equally well served.
    double attainmentPerRank = 0.1;
    /// An unstarted job is evicted for one of the same route that is worth at least this many times
    /// as much.
    double evictionWorthRatio = 2.0;
    /// Assumed fill level of batches when the work ahead of a job is estimated.
    double assumedBatchFill = 0.7;
    /// Share of a backend server's result storage above which inputs are freed as soon as the stage
    /// that needs them has fetched them, rather than when that stage is done.
    double earlyFreeThreshold = 0.5;
    /// Time from the start of a call until the backend server has fetched its inputs.
    framework::Milliseconds inputFetchTime{60};
    /// The start of a final stage that is shorter than the rest of its job is delayed, so that its
    /// results do not occupy storage while the other stages run. It still starts this long before
    /// the time at which it would end together with them.
    framework::Milliseconds joinLeadTime{250};
    /// Minimum size of a job's data in one zone for its stage to prefer that zone; the cost of
    /// moving less is negligible.
    framework::Bytes zoneAffinityMinSize{50000};
    /// Minimum slack for a stage to wait for a backend server in its preferred zone: about the
    /// duration of one call.
    framework::Milliseconds zoneAffinityMinSlack{350};
    /// Head start of a job over one that is due at the same time and has the next less urgent
    /// priority rank.
    framework::Milliseconds headStartPerRank{100};
};

} // namespace lavendertally::stages
