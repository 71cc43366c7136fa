#pragma once

#include "membership/testing/fakebackendservers.h"
#include "ratelimit/testing/testratelimits.h"
#include "serving/testing/fakeservingstate.h"
#include "stages/istagecoordinator.h"
#include "stages/stagesmodule.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lavendertally::stages {

/// A coordinator with the pools `first` and `second`. Its commands are collected by type, and the
/// test plays the backend servers.
class StageFixture : public testing::Test
{
protected:
    static constexpr framework::TimePoint Start{100000};

    StageFixture()
    {
        m_serving.set({}, {pool("first", 4, 1000000), pool("second", 4, 1000000)});
        m_coordinator = StagesModule::makeCoordinator(m_serving, m_servers, m_rateLimits.limits());
    }

    /// \param batchSize pieces per call at most
    /// \param resultBytes result storage of each backend server
    static serving::ServiceSpec pool(const char *id, std::uint32_t batchSize,
                                     std::int64_t resultBytes)
    {
        serving::ServiceSpec service;
        service.id = framework::ServiceId(id);
        service.stagePool = serving::StagePool{1,
                                               2,
                                               batchSize,
                                               framework::Milliseconds(200),
                                               framework::Microseconds(10000),
                                               framework::Bytes(resultBytes),
                                               framework::Milliseconds(4000)};
        return service;
    }
    void addServer(const std::string &id, const char *service, const char *zone = "za")
    {
        membership::BackendServerEntry entry;
        entry.id = framework::BackendServerId(id);
        entry.service = framework::ServiceId(service);
        entry.zone = framework::AvailabilityZoneId(zone);
        m_servers.add(entry);
    }
    /// \param first pieces of the stage that runs on pool `first`
    /// \param second pieces of the stage that runs on pool `second` and needs the results of
    /// `first` \param objective time left to the latency objective, in milliseconds
    static protocol::StageJob job(const std::string &request, std::uint32_t first,
                                  std::uint32_t second = 0, std::int64_t objective = 2000)
    {
        protocol::StageJob result;
        result.request = framework::RequestId(request);
        result.route = framework::RouteId("route");
        result.stages.push_back(
            {0, framework::ServiceId("first"), {}, first, framework::Bytes(1000)});
        if (second > 0) {
            result.stages.push_back(
                {1, framework::ServiceId("second"), {0}, second, framework::Bytes(1000)});
        }
        result.input = framework::StageInputId("key-" + request);
        result.objectiveLeft = framework::Milliseconds(objective);
        result.timeLeft = framework::Milliseconds(10000);
        return result;
    }
    void submit(const protocol::StageJob &job)
    {
        m_coordinator->submit(Owner, job, m_now);
        collectCommands();
    }
    void advance(std::int64_t milliseconds)
    {
        m_now = m_now + framework::Milliseconds(milliseconds);
    }
    void wake()
    {
        m_coordinator->wake(m_now);
        collectCommands();
    }
    void endCall(const StartStageCall &call, const StageCallOutcome &outcome)
    {
        m_coordinator->callEnded(call.call, outcome, m_now);
        collectCommands();
    }
    /// Answers a call with a result for each piece, named request/stage/piece.
    void answerCall(const StartStageCall &call)
    {
        StageCallOutcome outcome;
        outcome.status = StageCallStatus::Answered;
        for (const PieceRequest &piece : call.pieces) {
            outcome.pieces.push_back(
                {PieceStatus::Done,
                 framework::StageResultId(piece.request.value() + "/" + std::to_string(piece.stage)
                                          + "/" + std::to_string(piece.piece))});
        }
        endCall(call, outcome);
    }
    /// Answers a call with the same status for each piece.
    void failCall(const StartStageCall &call, PieceStatus status)
    {
        StageCallOutcome outcome;
        outcome.status = StageCallStatus::Answered;
        outcome.pieces.resize(call.pieces.size(), {status, {}});
        endCall(call, outcome);
    }
    /// Takes the coordinator's commands and sorts them by type.
    void collectCommands()
    {
        for (StageCommand &command : m_coordinator->takeCommands()) {
            if (auto *call = std::get_if<StartStageCall>(&command)) {
                m_calls.push_back(*call);
            } else if (auto *free = std::get_if<FreeStageResults>(&command)) {
                m_freedResults.insert(m_freedResults.end(), free->results.begin(),
                                      free->results.end());
            } else if (auto *query = std::get_if<QueryFreeStorage>(&command)) {
                m_queries.push_back(query->server.id.value());
            } else {
                const auto &ended = std::get<EndStageJob>(command);
                m_outcomes[ended.outcome.request.value()] = ended.outcome;
            }
        }
    }
    bool isDone(const std::string &request) const
    {
        const auto found = m_outcomes.find(request);
        return found != m_outcomes.end() && found->second.status == protocol::StageJobStatus::Done;
    }

    const framework::DaemonId Owner{"d1"};
    serving::FakeServingState m_serving;
    membership::FakeBackendServers m_servers;
    ratelimit::TestRateLimits m_rateLimits;
    std::unique_ptr<IStageCoordinator> m_coordinator;
    framework::TimePoint m_now = Start;
    std::vector<StartStageCall> m_calls;
    /// Backend servers that were asked for their free storage.
    std::vector<std::string> m_queries;
    std::vector<framework::StageResultId> m_freedResults;
    std::map<std::string, protocol::StageJobOutcome> m_outcomes;
};

} // namespace lavendertally::stages
