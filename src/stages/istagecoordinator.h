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

/// Runs the stages of many requests on shared pools of backend servers, in batches. Does no input
/// or output: each function may add commands, which takeCommands() hands out.
class IStageCoordinator
{
public:
    virtual ~IStageCoordinator() = default;

    /// Takes a job on. Its end is told by EndStageJob.
    virtual void submit(const framework::DaemonId &owner, const protocol::StageJob &job,
                        framework::TimePoint now) = 0;

    /// A job is not wanted any more; its end is not told.
    virtual void cancel(const JobKey &job, framework::TimePoint now) = 0;

    /// No job of that daemon is wanted any more.
    virtual void cancelAll(const framework::DaemonId &owner, framework::TimePoint now) = 0;

    /// Ends the jobs that have not begun, for another coordinator to take them.
    virtual void handOver() = 0;

    /// Results handed out by EndStageJob are not needed any more.
    virtual void release(const std::vector<framework::StageResultId> &results,
                         framework::TimePoint now) = 0;

    /// Backend servers have dropped these results, so there is room again.
    virtual void resultsFreed(const std::vector<framework::StageResultId> &results,
                              framework::TimePoint now) = 0;

    /// \return whether there are jobs
    virtual bool hasJobs() const = 0;

    /// \return what the jobs here have at backend servers
    virtual std::vector<protocol::StageHolding> holdings() const = 0;

    /// Another daemon still coordinates jobs, which have these things at backend servers.
    virtual void setForeign(const framework::DaemonId &daemon,
                            const std::vector<protocol::StageHolding> &holdings,
                            framework::TimePoint now) = 0;

    virtual void callEnded(StageCallId call, const StageCallOutcome &outcome,
                           framework::TimePoint now) = 0;

    /// Lets time pass; call it at nextWake() and when backend servers come or go.
    virtual void wake(framework::TimePoint now) = 0;

    /// \return when wake() may have something to do although nothing else happened
    virtual framework::TimePoint nextWake() const = 0;

    /// \return what is to be done, in order; each command once
    virtual std::vector<StageCommand> takeCommands() = 0;
};

} // namespace lavendertally::stages
