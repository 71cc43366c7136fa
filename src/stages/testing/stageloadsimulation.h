#pragma once

#include "membership/testing/fakebackendservers.h"
#include "serving/iservingstate.h"
#include "serving/types/servicespec.h"
#include "serving/types/servingconfiguration.h"
#include "stages/istagecoordinator.h"
#include "stages/testing/stagearrival.h"
#include "stages/testing/stageloadresult.h"

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace lavendertally::stages {

/// Plays arrivals against a coordinator in simulated time. Each call takes as long as the
/// configuration of its pool says and succeeds.
class StageLoadSimulation
{
public:
    /// \param serving configuration with the pools; must outlive this object
    /// \param coordinator must outlive this object
    StageLoadSimulation(const serving::IServingState &serving, IStageCoordinator &coordinator)
        : m_serving(serving), m_coordinator(coordinator)
    { }

    /// Plays all arrivals, which are sorted by time, until the last job has ended.
    void run(const std::vector<StageArrival> &arrivals)
    {
        std::size_t next = 0;
        framework::TimePoint nextWake =
            arrivals.empty() ? framework::TimePoint() : arrivals.front().at;
        while (next < arrivals.size() || !m_running.empty() || m_coordinator.hasJobs()) {
            framework::TimePoint now = nextWake;
            if (next < arrivals.size()) {
                now = std::min(now, arrivals[next].at);
            }
            if (!m_running.empty()) {
                now = std::min(now, m_running.top().first);
            }
            if (!m_running.empty() && m_running.top().first == now) {
                endCall(now);
            } else if (next < arrivals.size() && arrivals[next].at == now) {
                submit(arrivals[next++].job, now);
            } else {
                m_coordinator.wake(now);
                nextWake = now + WakeInterval;
            }
            executeCommands(now);
        }
    }

    std::size_t calls() const { return m_calls; }
    const std::map<std::string, StageLoadResult> &byRoute() const { return m_results; }
    StageLoadResult total() const
    {
        StageLoadResult sum;
        for (const auto &[route, result] : m_results) {
            sum.submitted += result.submitted;
            sum.inTime += result.inTime;
            sum.late += result.late;
            sum.refused += result.refused;
            sum.refusedLate += result.refusedLate;
        }
        return sum;
    }

private:
    using CallEnd = std::pair<framework::TimePoint, StartStageCall>;

    struct EndsLater
    {
        bool operator()(const CallEnd &a, const CallEnd &b) const { return a.first > b.first; }
    };

    struct Submission
    {
        std::string route;
        framework::TimePoint at;
        framework::TimePoint objective;
    };

    static constexpr framework::Milliseconds WakeInterval{50};

    void submit(const protocol::StageJob &job, framework::TimePoint now)
    {
        m_submissions[job.request] = {job.route.value(), now, now + job.objectiveLeft};
        ++m_results[job.route.value()].submitted;
        m_coordinator.submit(framework::DaemonId("d"), job, now);
    }
    void endCall(framework::TimePoint now)
    {
        const StartStageCall call = m_running.top().second;
        m_running.pop();
        StageCallOutcome outcome;
        outcome.status = StageCallStatus::Answered;
        for (const PieceRequest &piece : call.pieces) {
            outcome.pieces.push_back(
                {PieceStatus::Done,
                 framework::StageResultId(std::to_string(call.call.value()) + "/"
                                          + std::to_string(piece.piece) + piece.request.value())});
        }
        m_coordinator.callEnded(call.call, outcome, now);
    }
    void executeCommands(framework::TimePoint now)
    {
        for (const StageCommand &command : m_coordinator.takeCommands()) {
            if (const auto *call = std::get_if<StartStageCall>(&command)) {
                ++m_calls;
                m_running.emplace(now + duration(*call), *call);
            } else if (const auto *ended = std::get_if<EndStageJob>(&command)) {
                count(ended->outcome, now);
            } else if (const auto *freed = std::get_if<FreeStageResults>(&command)) {
                m_coordinator.resultsFreed(freed->results, now);
            }
        }
    }
    framework::Milliseconds duration(const StartStageCall &call) const
    {
        const auto configuration = m_serving.configuration();
        const serving::ServiceSpec *spec = configuration->findService(call.server.service);
        return spec->stagePool->batchTime(static_cast<std::uint32_t>(call.pieces.size()));
    }
    void count(const protocol::StageJobOutcome &outcome, framework::TimePoint now)
    {
        const Submission &submission = m_submissions.at(outcome.request);
        StageLoadResult &result = m_results[submission.route];
        const bool late = now > submission.objective;
        if (outcome.status != protocol::StageJobStatus::Done) {
            ++result.refused;
            result.refusedLate += late ? 1 : 0;
        } else {
            ++(late ? result.late : result.inTime);
            std::vector<framework::StageResultId> results;
            for (const protocol::StageResultPlace &place : outcome.results) {
                results.push_back(place.id);
            }
            m_coordinator.release(results, now);
        }
    }

    const serving::IServingState &m_serving;
    IStageCoordinator &m_coordinator;
    std::priority_queue<CallEnd, std::vector<CallEnd>, EndsLater> m_running;
    std::map<framework::RequestId, Submission> m_submissions;
    std::map<std::string, StageLoadResult> m_results;
    std::size_t m_calls = 0;
};

} // namespace lavendertally::stages
