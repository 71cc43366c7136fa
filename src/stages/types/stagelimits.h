#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/units.h"

#include <cstdint>

namespace lavendertally::stages {

/// Parameters of the stage coordinator.
struct StageLimits
{
    /// Attempts of one piece, the first one included; more would outlast most deadlines.
    std::uint32_t maxPieceAttempts = 4;
    /// A call that takes longer than this multiple of the expected time is given up.
    double timeoutFactor = 1.6;
    /// Added to the expected time of a call before it is given up; a few round trips.
    framework::Milliseconds timeoutSlack{200};
    /// How long a backend server that refused a call gets none.
    framework::Milliseconds refusalPause{50};
    /// How long a backend server that failed a call gets none, doubled with each failure in a row.
    framework::Milliseconds minEjection{500};
    framework::Milliseconds maxEjection{4000};
    /// How long the room counts as taken that a backend server said it does not have.
    framework::Milliseconds noRoomPause{1500};
    /// How long what another coordinator has at backend servers counts after it told; a few times
    /// the interval at which it tells.
    framework::Milliseconds foreignLifetime{500};
    /// Bounds on when a refused request may come back.
    framework::Milliseconds minRetryAfter{100};
    framework::Milliseconds maxRetryAfter{2000};
    /// How far behind its objective a started job may fall before it is given up; what it still
    /// earns then is less than what its pieces take from others.
    framework::Milliseconds maxLateness{2000};
    /// Share of its requests done in time that a route of a less urgent rank has to give up for one
    /// of the next more urgent rank.
    double sharePerRank = 0.1;
    /// A job gives way to one of its route that is worth this many times as much.
    double worthRatio = 2.0;
    /// Batches are taken to be this full when the work ahead is estimated.
    double usualBatchFill = 0.7;
    /// Part of a backend server's room above which results are freed as soon as they have been
    /// fetched, and not when what was made of them is there.
    double pressedRoom = 0.5;
    /// Time from the start of a call until it has fetched its inputs.
    framework::Milliseconds fetchTime{60};
    /// A stage whose results would only wait for the others of its job starts this much before they
    /// are due.
    framework::Milliseconds earliness{250};
    /// Inputs or results of a job that are at least this large are kept within one zone if there is
    /// time; less costs next to nothing to move.
    framework::Bytes zonalSize{50000};
    /// Slack that a job must have to wait for a backend server of its zone: about one call.
    framework::Milliseconds zonalSlack{350};
    /// Lead that a job has over one of the next rank with the same due date.
    framework::Milliseconds leadPerRank{100};
};

} // namespace lavendertally::stages
