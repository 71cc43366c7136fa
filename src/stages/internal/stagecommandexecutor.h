#pragma once

#include "framework/types/ids.h"
#include "protocol/types/stageholdings.h"
#include "protocol/types/stagejob.h"
#include "protocol/types/stagejoboutcome.h"
#include "stages/types/stagecommand.h"

#include <functional>
#include <memory>
#include <vector>

namespace lavendertally::framework {
class IClock;
class ILogger;
class IMetrics;
class IScheduler;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::stages {

class IStageCallPort;
class IStageCoordinator;
struct StageCallOutcome;

/// Drives the coordinator of this daemon: passes events to it, executes its commands and wakes it
/// when it asks to be.
class StageCommandExecutor
{
public:
    using JobEndedHandler =
        std::function<void(const framework::DaemonId &owner, const protocol::StageJobOutcome &)>;

    /// \param onJobEnded called for each job that ended, possibly from within a function of this
    /// class
    StageCommandExecutor(IStageCoordinator &coordinator, IStageCallPort &calls,
                         framework::IScheduler &scheduler, const framework::IClock &clock,
                         framework::ILogger &logger, framework::IMetrics &metrics,
                         JobEndedHandler onJobEnded);
    ~StageCommandExecutor();
    StageCommandExecutor(const StageCommandExecutor &) = delete;
    StageCommandExecutor &operator=(const StageCommandExecutor &) = delete;

    void submit(const framework::DaemonId &owner, const protocol::StageJob &job);
    void cancel(const framework::DaemonId &owner, const framework::RequestId &request);
    void cancelAll(const framework::DaemonId &owner);
    void handOver();
    bool hasJobs() const;
    protocol::StageHoldings holdings() const;
    void setPeerHoldings(const framework::DaemonId &daemon,
                         const protocol::StageHoldings &holdings);
    void release(const std::vector<framework::StageResultId> &results);

private:
    void executeCommands();
    void execute(const StartStageCall &command);
    void execute(const FreeStageResults &command);
    void execute(const EndStageJob &command);
    void execute(const QueryFreeStorage &command);
    void callEnded(const StartStageCall &call, const StageCallOutcome &outcome);
    void scheduleWake();

    IStageCoordinator &m_coordinator;
    IStageCallPort &m_calls;
    framework::IScheduler &m_scheduler;
    const framework::IClock &m_clock;
    framework::ILogger &m_logger;
    framework::IMetrics &m_metrics;
    JobEndedHandler m_onJobEnded;
    std::unique_ptr<framework::ITimer> m_wakeTimer;
    std::unique_ptr<framework::ITimer> m_freeTimer;
    std::vector<framework::StageResultId> m_resultsToFree;
};

} // namespace lavendertally::stages
