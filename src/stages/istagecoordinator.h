#pragma once

#include "framework/types/timepoint.h"
#include "protocol/types/stageholding.h"
#include "protocol/types/stagejob.h"
#include "stages/types/jobkey.h"
#include "stages/types/stagecallid.h"
#include "stages/types/stagecalloutcome.h"
#include "stages/types/stagecommand.h"

#include <vector>

namespace lavendertally::stages {

/// Schedules the stages of many requests on shared pools of backend servers. The stages of one
/// request are a job; each stage consists of pieces, which can run on different backend servers and
/// are sent to them in batches.
///
/// Does no input or output and reads no clock: each function may queue commands, which the caller
/// fetches with takeCommands() and executes. Not thread-safe.
class IStageCoordinator
{
public:
    virtual ~IStageCoordinator() = default;

    /// Admits or refuses a job. An EndStageJob command reports how it ended. Submitting a job under
    /// the key of an existing one cancels the existing one.
    /// \param owner daemon that the outcome is reported to
    virtual void submit(const framework::DaemonId &owner, const protocol::StageJob &job,
                        framework::TimePoint now) = 0;

    /// Drops a job without reporting an outcome and frees its results. Unknown jobs are ignored.
    virtual void cancel(const JobKey &job, framework::TimePoint now) = 0;

    /// Cancels all jobs of a daemon.
    virtual void cancelAll(const framework::DaemonId &owner, framework::TimePoint now) = 0;

    /// Ends, with the status NotCoordinator, all jobs of which no piece has been sent, so that
    /// their owners submit them to another coordinator.
    virtual void handOver() = 0;

    /// Frees results that an EndStageJob command reported.
    virtual void release(const std::vector<framework::StageResultId> &results,
                         framework::TimePoint now) = 0;

    /// Reports that backend servers have deleted these results; their storage is available again.
    virtual void resultsFreed(const std::vector<framework::StageResultId> &results,
                              framework::TimePoint now) = 0;

    /// Reports the answer to a QueryFreeStorage command: results of which this coordinator knows
    /// nothing may occupy storage, such as those of a coordinator that was killed.
    /// \param free storage that is free at the backend server
    virtual void storageReported(const framework::BackendServerId &server, framework::Bytes free,
                                 framework::TimePoint now) = 0;

    virtual bool hasJobs() const = 0;

    /// \return calls in flight and result storage that this coordinator uses at each backend server
    virtual std::vector<protocol::StageHolding> holdings() const = 0;

    /// Replaces what is known of the calls and result storage of another daemon that coordinates
    /// jobs at the same time. Expires after StageCoordinatorOptions::peerHoldingsLifetime.
    virtual void setPeerHoldings(const framework::DaemonId &daemon,
                                 const std::vector<protocol::StageHolding> &holdings,
                                 framework::TimePoint now) = 0;

    /// Reports the outcome of a StartStageCall command. Unknown calls are ignored.
    virtual void callEnded(StageCallId call, const StageCallOutcome &outcome,
                           framework::TimePoint now) = 0;

    /// Expires results, ends late jobs and sends waiting pieces, also to backend servers that were
    /// added since. To be called at nextWake().
    virtual void wake(framework::TimePoint now) = 0;

    /// \return when to call wake() next; never() while there are no jobs
    virtual framework::TimePoint nextWake() const = 0;

    /// Removes and returns the queued commands.
    /// \return commands in the order in which they are to be executed
    virtual std::vector<StageCommand> takeCommands() = 0;
};

} // namespace lavendertally::stages
