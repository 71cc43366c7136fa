#include "stages/tests/stagefixture.h"

#include <algorithm>

using namespace lavendertally;
using namespace lavendertally::stages;

using StageCoordinatorTest = StageFixture;

TEST_F(StageCoordinatorTest, JobWithTwoStages_StagesRunInOrderAndFinalResultsAreReported)
{
    addServer("f1", "first");
    addServer("s1", "second");
    submit(job("r", 2, 1));
    ASSERT_EQ(m_calls.size(), 1U);
    EXPECT_EQ(m_calls[0].pieces.size(), 2U);
    EXPECT_EQ(m_calls[0].pieces[0].input.value(), "key-r");
    answerCall(m_calls[0]);
    ASSERT_EQ(m_calls.size(), 2U);
    EXPECT_EQ(m_calls[1].pieces[0].inputs.size(), 2U);
    EXPECT_TRUE(m_freedResults.empty());
    answerCall(m_calls[1]);
    ASSERT_TRUE(isDone("r"));
    ASSERT_EQ(m_outcomes["r"].results.size(), 1U);
    EXPECT_EQ(m_outcomes["r"].results[0].id.value(), "r/1/0");
    EXPECT_EQ(m_freedResults.size(), 2U);
}

TEST_F(StageCoordinatorTest, PiecesOfSeveralJobsWaiting_AreSentInOneCall)
{
    addServer("f1", "first");
    submit(job("a", 1));
    for (const char *request : {"b", "c", "d"}) {
        submit(job(request, 1));
    }
    ASSERT_EQ(m_calls.size(), 1U);
    answerCall(m_calls[0]);
    ASSERT_EQ(m_calls.size(), 2U);
    EXPECT_EQ(m_calls[1].pieces.size(), 3U);
}

TEST_F(StageCoordinatorTest, MorePiecesThanBatchSize_AreSplitIntoSeveralCalls)
{
    addServer("f1", "first");
    submit(job("a", 6));
    ASSERT_EQ(m_calls.size(), 1U);
    EXPECT_EQ(m_calls[0].pieces.size(), 4U);
    answerCall(m_calls[0]);
    ASSERT_EQ(m_calls.size(), 2U);
    EXPECT_EQ(m_calls[1].pieces.size(), 2U);
}

TEST_F(StageCoordinatorTest, QueuedJobs_RunByDueDateWithHeadStartForUrgentPriority)
{
    addServer("f1", "first");
    submit(job("running", 4));
    protocol::StageJob early = job("early", 4, 0, 1500);
    protocol::StageJob late = job("late", 4, 0, 1900);
    protocol::StageJob urgent = job("urgent", 4, 0, 1550);
    early.priority = framework::PriorityRank(1);
    submit(late);
    submit(early);
    submit(urgent);
    answerCall(m_calls[0]);
    EXPECT_EQ(m_calls[1].pieces[0].request.value(), "urgent");
    answerCall(m_calls[1]);
    EXPECT_EQ(m_calls[2].pieces[0].request.value(), "early");
    answerCall(m_calls[2]);
    EXPECT_EQ(m_calls[3].pieces[0].request.value(), "late");
}

TEST_F(StageCoordinatorTest, JobExpectedToMissObjective_IsRefusedWithoutStartingAPiece)
{
    addServer("f1", "first");
    for (int each = 0; each < 40; ++each) {
        submit(job("r" + std::to_string(each), 4, 0, 1000));
    }
    const auto refused = std::count_if(m_outcomes.begin(), m_outcomes.end(), [](const auto &entry) {
        return entry.second.status == protocol::StageJobStatus::Overloaded;
    });
    EXPECT_GT(refused, 30);
    EXPECT_GT(m_outcomes["r39"].retryAfter, framework::Milliseconds(0));
    EXPECT_EQ(m_calls.size(), 1U);
}

TEST_F(StageCoordinatorTest, NoBackendServer_JobIsRefused)
{
    submit(job("r", 1));
    EXPECT_EQ(m_outcomes["r"].status, protocol::StageJobStatus::Overloaded);
}

TEST_F(StageCoordinatorTest, UnstartedJobPastItsLatestStart_IsRefused)
{
    addServer("f1", "first");
    submit(job("running", 4));
    submit(job("waiting", 1, 0, 700));
    ASSERT_FALSE(m_outcomes.contains("waiting"));
    advance(900);
    wake();
    EXPECT_EQ(m_outcomes["waiting"].status, protocol::StageJobStatus::Overloaded);
}

TEST_F(StageCoordinatorTest, CallWithoutAnswer_IsRetriedOnAnotherServer)
{
    addServer("f1", "first");
    submit(job("r", 2));
    addServer("f2", "first");
    endCall(m_calls[0], {StageCallStatus::Unknown, {}});
    ASSERT_EQ(m_calls.size(), 2U);
    EXPECT_EQ(m_calls[1].server.id.value(), "f2");
    EXPECT_EQ(m_calls[1].pieces.size(), 2U);
}

TEST_F(StageCoordinatorTest, PieceFailsOnEveryAttempt_OnlyItsJobFails)
{
    addServer("f1", "first");
    submit(job("bad", 1));
    for (std::size_t attempt = 0; attempt < m_calls.size(); ++attempt) {
        failCall(m_calls[attempt], PieceStatus::Error);
    }
    EXPECT_EQ(m_outcomes["bad"].status, protocol::StageJobStatus::Failed);
    EXPECT_EQ(m_calls.size(), 4U);
    submit(job("good", 1));
    answerCall(m_calls.back());
    EXPECT_TRUE(isDone("good"));
}

TEST_F(StageCoordinatorTest, InputMissingAtServer_PrecedingStageRunsAgain)
{
    addServer("f1", "first");
    addServer("s1", "second");
    submit(job("r", 1, 1));
    answerCall(m_calls[0]);
    failCall(m_calls[1], PieceStatus::InputMissing);
    ASSERT_EQ(m_calls.size(), 3U);
    EXPECT_EQ(m_calls[2].server.service.value(), "first");
    answerCall(m_calls[2]);
    answerCall(m_calls[3]);
    EXPECT_TRUE(isDone("r"));
}

TEST_F(StageCoordinatorTest, JobCancelledWithCallInFlight_ItsResultsAreFreed)
{
    addServer("f1", "first");
    addServer("s1", "second");
    submit(job("r", 1, 1));
    answerCall(m_calls[0]);
    m_coordinator->cancel({Owner, framework::RequestId("r")}, m_now);
    collectCommands();
    EXPECT_EQ(m_freedResults.size(), 1U);
    answerCall(m_calls[1]);
    EXPECT_EQ(m_freedResults.size(), 2U);
    EXPECT_TRUE(m_outcomes.empty());
}

TEST_F(StageCoordinatorTest, OwnerLeft_ItsJobsAreDropped)
{
    addServer("f1", "first");
    submit(job("a", 4));
    submit(job("b", 4));
    m_coordinator->cancelAll(Owner, m_now);
    collectCommands();
    answerCall(m_calls[0]);
    EXPECT_EQ(m_calls.size(), 1U);
    EXPECT_TRUE(m_outcomes.empty());
}

TEST_F(StageCoordinatorTest, HandOver_UnstartedJobsEndAndStartedOnesContinue)
{
    addServer("f1", "first");
    submit(job("begun", 4));
    submit(job("waiting", 4));
    m_coordinator->handOver();
    collectCommands();
    EXPECT_EQ(m_outcomes["waiting"].status, protocol::StageJobStatus::NotCoordinator);
    EXPECT_FALSE(m_outcomes.contains("begun"));
    answerCall(m_calls[0]);
    EXPECT_TRUE(isDone("begun"));
}

TEST_F(StageCoordinatorTest, ResultsReleased_StorageIsReusedOnlyAfterServerDeletedThem)
{
    m_serving.set({}, {pool("first", 4, 4000), pool("second", 4, 4000)});
    addServer("f1", "first");
    submit(job("a", 4));
    answerCall(m_calls[0]);
    submit(job("b", 4));
    EXPECT_EQ(m_calls.size(), 1U);
    std::vector<framework::StageResultId> results;
    for (const auto &place : m_outcomes["a"].results) {
        results.push_back(place.id);
    }
    m_coordinator->release(results, m_now);
    collectCommands();
    EXPECT_EQ(m_freedResults.size(), 4U);
    EXPECT_EQ(m_calls.size(), 1U);
    m_coordinator->resultsFreed(results, m_now);
    collectCommands();
    EXPECT_EQ(m_calls.size(), 2U);
}

TEST_F(StageCoordinatorTest, ServerHoldsResultsOfKilledCoordinator_GetsNoCallUntilTheyExpire)
{
    m_serving.set({}, {pool("first", 4, 4000), pool("second", 4, 4000)});
    addServer("f1", "first");
    const framework::BackendServerId server("f1");
    submit(job("a", 1));
    EXPECT_EQ(m_queries, (std::vector<std::string>{"f1"}));
    answerCall(m_calls[0]);
    m_coordinator->storageReported(server, framework::Bytes(0), m_now);
    submit(job("b", 1, 0, 9000));
    EXPECT_EQ(m_calls.size(), 1U) << "the server has no room";
    advance(700);
    wake();
    EXPECT_EQ(m_queries.size(), 2U) << "some of the unknown results may have expired";
    m_coordinator->storageReported(server, framework::Bytes(0), m_now);
    advance(700);
    wake();
    EXPECT_EQ(m_calls.size(), 1U) << "the newer report counts";
    m_coordinator->storageReported(server, framework::Bytes(3000), m_now);
    wake();
    EXPECT_EQ(m_calls.size(), 2U);
    const std::size_t queries = m_queries.size();
    advance(4000);
    wake();
    EXPECT_EQ(m_queries.size(), queries) << "nothing unknown is left";
}

TEST_F(StageCoordinatorTest, ServersHoldNothingUnknown_EachIsAskedOnce)
{
    addServer("f1", "first");
    addServer("f2", "first");
    submit(job("a", 1));
    for (const char *server : {"f1", "f2"}) {
        m_coordinator->storageReported(framework::BackendServerId(server),
                                       framework::Bytes(1000000), m_now);
    }
    addServer("f3", "first");
    submit(job("b", 1));
    advance(5000);
    submit(job("c", 1));
    wake();
    EXPECT_EQ(m_queries, (std::vector<std::string>{"f1", "f2", "f3"}));
}

TEST_F(StageCoordinatorTest, ResultsExpired_StorageIsReused)
{
    m_serving.set({}, {pool("first", 4, 4000), pool("second", 4, 4000)});
    addServer("f1", "first");
    submit(job("a", 4));
    answerCall(m_calls[0]);
    submit(job("b", 4, 0, 9000));
    advance(3900);
    wake();
    EXPECT_EQ(m_calls.size(), 1U);
    advance(200);
    wake();
    EXPECT_EQ(m_calls.size(), 2U);
}

TEST_F(StageCoordinatorTest, LargeData_StaysInPreferredZoneWhileSlackRemains)
{
    addServer("f1", "first", "zb");
    protocol::StageJob relaxed = job("relaxed", 1);
    relaxed.stages[0].resultSize = framework::Bytes(500000);
    relaxed.zone = framework::AvailabilityZoneId("za");
    addServer("f2", "first", "za");
    submit(relaxed);
    ASSERT_EQ(m_calls.size(), 1U);
    EXPECT_EQ(m_calls[0].server.id.value(), "f2");
    protocol::StageJob second = relaxed;
    second.request = framework::RequestId("second");
    submit(second);
    EXPECT_EQ(m_calls.size(), 1U);
    protocol::StageJob tight = relaxed;
    tight.request = framework::RequestId("tight");
    tight.objectiveLeft = framework::Milliseconds(500);
    submit(tight);
    ASSERT_EQ(m_calls.size(), 2U);
    EXPECT_EQ(m_calls[1].server.id.value(), "f1");
}

TEST_F(StageCoordinatorTest, SlowServer_RunsOnlyJobsWithEnoughSlack)
{
    addServer("f1", "first");
    submit(job("a", 1));
    advance(1500);
    answerCall(m_calls[0]);
    submit(job("tight", 1, 0, 700));
    EXPECT_EQ(m_calls.size(), 1U);
    submit(job("relaxed", 1, 0, 5000));
    ASSERT_EQ(m_calls.size(), 2U);
    EXPECT_EQ(m_calls[1].pieces[0].request.value(), "relaxed");
}

TEST_F(StageCoordinatorTest, PredecessorWithoutPieces_IsNotWaitedFor)
{
    addServer("s1", "second");
    protocol::StageJob only = job("r", 1, 1);
    only.stages.erase(only.stages.begin());
    submit(only);
    ASSERT_EQ(m_calls.size(), 1U);
    EXPECT_TRUE(m_calls[0].pieces[0].inputs.empty());
    answerCall(m_calls[0]);
    EXPECT_TRUE(isDone("r"));
}

TEST_F(StageCoordinatorTest, UnstartedJobOfLowWorth_IsEvictedForJobOfHighWorth)
{
    addServer("f1", "first");
    submit(job("running", 4));
    for (int each = 0; each < 8; ++each) {
        protocol::StageJob small = job("small" + std::to_string(each), 4, 0, 1400);
        small.worth = 30;
        submit(small);
    }
    protocol::StageJob large = job("large", 4, 0, 1450);
    large.worth = 400;
    submit(large);
    EXPECT_FALSE(m_outcomes.contains("large"));
    const bool isAnyEvicted =
        std::any_of(m_outcomes.begin(), m_outcomes.end(),
                    [](const auto &entry) { return entry.first.starts_with("small"); });
    EXPECT_TRUE(isAnyEvicted);
}

TEST_F(StageCoordinatorTest, ServerUsedByAnotherCoordinator_ItsCallsAndStorageCount)
{
    addServer("a", "first");
    const framework::BackendServerId server("a");
    m_coordinator->setPeerHoldings(framework::DaemonId("other"), {{server, framework::Bytes(0), 1}},
                                   Start);
    submit(job("r1", 2));
    EXPECT_TRUE(m_calls.empty());
    m_coordinator->setPeerHoldings(framework::DaemonId("other"),
                                   {{server, framework::Bytes(999500), 0}}, Start);
    collectCommands();
    EXPECT_TRUE(m_calls.empty()) << "500 bytes of storage left, a result has 1000 bytes";
    m_coordinator->setPeerHoldings(framework::DaemonId("other"),
                                   {{server, framework::Bytes(998500), 0}}, Start);
    collectCommands();
    ASSERT_EQ(m_calls.size(), 1U);
    EXPECT_EQ(m_calls[0].pieces.size(), 1U);
    const auto holdings = m_coordinator->holdings();
    ASSERT_EQ(holdings.size(), 1U);
    EXPECT_EQ(holdings[0], (protocol::StageHolding{server, framework::Bytes(1000), 1}));
}

TEST_F(StageCoordinatorTest, OtherCoordinatorStopsReporting_ItsHoldingsExpire)
{
    addServer("a", "first");
    m_coordinator->setPeerHoldings(framework::DaemonId("other"),
                                   {{framework::BackendServerId("a"), framework::Bytes(0), 1}},
                                   Start);
    submit(job("r1", 2));
    m_coordinator->wake(Start + framework::Milliseconds(600));
    collectCommands();
    EXPECT_EQ(m_calls.size(), 1U);
}

TEST_F(StageCoordinatorTest, ServerLimitsItsCalls_CallFreeingAndQueryNeedPermits)
{
    addServer("a", "first");
    const framework::BackendServerId server("a");
    m_rateLimits.limits().observeAnswer(server, framework::RequestRate(4000), m_now, m_now);
    submit(job("r1", 2));
    EXPECT_TRUE(m_calls.empty());
    EXPECT_TRUE(m_queries.empty());
    m_rateLimits.store().addPermits({{server, 1}}, m_now);
    wake();
    ASSERT_EQ(m_calls.size(), 1U);
    advance(300);
    answerCall(m_calls[0]);
    m_coordinator->release({framework::StageResultId("r1/0/0")}, m_now);
    wake();
    EXPECT_TRUE(m_freedResults.empty()) << "one result is not worth a call";
}

TEST_F(StageCoordinatorTest, LimitEnds_HeldResultsAreFreed)
{
    addServer("a", "first");
    const framework::BackendServerId server("a");
    submit(job("r1", 1));
    StageCallOutcome outcome;
    outcome.status = StageCallStatus::Answered;
    outcome.rateLimit = framework::RequestRate(1000);
    outcome.pieces = {{PieceStatus::Done, framework::StageResultId("x")}};
    advance(250);
    endCall(m_calls.at(0), outcome);
    submit(job("r2", 1));
    m_coordinator->release({framework::StageResultId("x")}, m_now);
    wake();
    EXPECT_TRUE(m_freedResults.empty());
    advance(10);
    m_rateLimits.limits().observeAnswer(server, std::nullopt, m_now, m_now);
    wake();
    collectCommands();
    EXPECT_EQ(m_freedResults, std::vector{framework::StageResultId("x")});
}

TEST_F(StageCoordinatorTest, ServerTurnsAwayWithRetryAfter_GetsNothingUntilThen)
{
    addServer("a", "first");
    submit(job("r0", 1));
    answerCall(m_calls.at(0));
    submit(job("r1", 1, 0, 6000));
    StageCallOutcome refused;
    refused.status = StageCallStatus::NotRun;
    refused.retryAfter = framework::Milliseconds(1000);
    endCall(m_calls.at(1), refused);
    advance(900);
    wake();
    m_coordinator->release({framework::StageResultId("r0/0/0")}, m_now);
    wake();
    EXPECT_EQ(m_calls.size(), 2U);
    EXPECT_TRUE(m_freedResults.empty());
    advance(200);
    wake();
    EXPECT_EQ(m_calls.size(), 3U);
    wake();
    EXPECT_EQ(m_freedResults.size(), 1U);
}
