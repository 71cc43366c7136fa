#include "stages/internal/stagecommandexecutor.h"

#include "framework/iclock.h"
#include "framework/ilogger.h"
#include "framework/imetrics.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "stages/istagecallport.h"
#include "stages/istagecoordinator.h"

#include <algorithm>
#include <utility>

namespace lavendertally::stages {

namespace {

/// Collects results to be freed into one request; short compared to the lifetime of a result.
constexpr framework::Milliseconds FreeBatchDelay{10};

const char *statusName(StageCallStatus status)
{
    switch (status) {
    case StageCallStatus::Answered:
        return "answered";
    case StageCallStatus::NotRun:
        return "not_run";
    case StageCallStatus::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace

StageCommandExecutor::StageCommandExecutor(IStageCoordinator &coordinator, IStageCallPort &calls,
                                           framework::IScheduler &scheduler,
                                           const framework::IClock &clock,
                                           framework::ILogger &logger, framework::IMetrics &metrics,
                                           JobEndedHandler onJobEnded)
    : m_coordinator(coordinator), m_calls(calls), m_scheduler(scheduler), m_clock(clock),
      m_logger(logger), m_metrics(metrics), m_onJobEnded(std::move(onJobEnded))
{ }

StageCommandExecutor::~StageCommandExecutor() = default;

void StageCommandExecutor::submit(const framework::DaemonId &owner, const protocol::StageJob &job)
{
    m_coordinator.submit(owner, job, m_clock.now());
    executeCommands();
}

void StageCommandExecutor::cancel(const framework::DaemonId &owner,
                                  const framework::RequestId &request)
{
    m_coordinator.cancel({owner, request}, m_clock.now());
    executeCommands();
}

void StageCommandExecutor::cancelAll(const framework::DaemonId &owner)
{
    m_coordinator.cancelAll(owner, m_clock.now());
    executeCommands();
}

void StageCommandExecutor::handOver()
{
    m_coordinator.handOver();
    executeCommands();
}

bool StageCommandExecutor::hasJobs() const
{
    return m_coordinator.hasJobs();
}

protocol::StageHoldings StageCommandExecutor::holdings() const
{
    return {m_coordinator.holdings()};
}

void StageCommandExecutor::setPeerHoldings(const framework::DaemonId &daemon,
                                           const protocol::StageHoldings &holdings)
{
    m_coordinator.setPeerHoldings(daemon, holdings.holdings, m_clock.now());
    executeCommands();
}

void StageCommandExecutor::release(const std::vector<framework::StageResultId> &results)
{
    m_coordinator.release(results, m_clock.now());
    executeCommands();
}

void StageCommandExecutor::executeCommands()
{
    for (const StageCommand &command : m_coordinator.takeCommands()) {
        std::visit([this](const auto &each) { execute(each); }, command);
    }
    scheduleWake();
}

void StageCommandExecutor::execute(const StartStageCall &command)
{
    m_metrics.increment("lavendertally_stage_calls_total",
                        {{"service", command.server.service.value()}});
    m_metrics.observe("lavendertally_stage_batch_pieces",
                      {{"service", command.server.service.value()}},
                      framework::Milliseconds(static_cast<std::int64_t>(command.pieces.size())));
    m_calls.startCall(
        command, [this, command](const StageCallOutcome &outcome) { callEnded(command, outcome); });
}

void StageCommandExecutor::callEnded(const StartStageCall &call, const StageCallOutcome &outcome)
{
    const auto failed =
        std::count_if(outcome.pieces.begin(), outcome.pieces.end(),
                      [](const PieceOutcome &piece) { return piece.status != PieceStatus::Done; });
    if (outcome.status != StageCallStatus::Answered || failed > 0) {
        m_logger.warning("stage call failed; its pieces are retried while attempts and time remain",
                         {{"backend_server", call.server.id.value()},
                          {"service", call.server.service.value()},
                          {"status", statusName(outcome.status)},
                          {"pieces", std::to_string(call.pieces.size())},
                          {"failed", std::to_string(failed)},
                          {"request", call.pieces.front().request.value()}});
        m_metrics.increment(
            "lavendertally_stage_call_failures_total",
            {{"service", call.server.service.value()}, {"status", statusName(outcome.status)}});
    }
    m_coordinator.callEnded(call.call, outcome, m_clock.now());
    executeCommands();
}

void StageCommandExecutor::execute(const FreeStageResults &command)
{
    m_resultsToFree.insert(m_resultsToFree.end(), command.results.begin(), command.results.end());
    if (!m_freeTimer) {
        m_freeTimer = m_scheduler.callAfter(FreeBatchDelay, [this] {
            m_freeTimer.reset();
            m_calls.freeResults(std::exchange(m_resultsToFree, {}),
                                [this](const std::vector<framework::StageResultId> &freed) {
                                    m_coordinator.resultsFreed(freed, m_clock.now());
                                    executeCommands();
                                });
        });
    }
}

void StageCommandExecutor::execute(const EndStageJob &command)
{
    const bool done = command.outcome.status == protocol::StageJobStatus::Done;
    m_metrics.increment("lavendertally_stage_jobs_total",
                        {{"outcome", done ? "done" : command.cause}});
    if (!done) {
        m_logger.info("stage job ended without results",
                      {{"request", command.outcome.request.value()},
                       {"owner", command.owner.value()},
                       {"cause", command.cause},
                       {"lateness_ms", std::to_string(command.lateness.value())},
                       {"retry_after_ms", std::to_string(command.outcome.retryAfter.value())}});
    }
    m_onJobEnded(command.owner, command.outcome);
}

void StageCommandExecutor::execute(const QueryFreeStorage &command)
{
    m_calls.queryFreeStorage(command.server,
                             [this, server = command.server.id](framework::Bytes free) {
                                 m_coordinator.storageReported(server, free, m_clock.now());
                                 executeCommands();
                             });
}

void StageCommandExecutor::scheduleWake()
{
    const framework::TimePoint wake = m_coordinator.nextWake();
    if (wake == framework::TimePoint::never() || m_wakeTimer) {
        return;
    }
    const framework::Milliseconds delay =
        std::max(wake - m_clock.now(), framework::Milliseconds(1));
    m_wakeTimer = m_scheduler.callAfter(delay, [this] {
        m_wakeTimer.reset();
        m_coordinator.wake(m_clock.now());
        executeCommands();
    });
}

} // namespace lavendertally::stages
