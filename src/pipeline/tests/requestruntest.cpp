#include "pipeline/tests/requestrunfixture.h"

#include <gtest/gtest.h>

using namespace lavendertally;
using namespace lavendertally::pipeline;
using framework::Milliseconds;

TEST_F(RequestRunTest, StagesRunInOrder_EachReceivesResultsOfItsDependencies)
{
    start("answer");
    ASSERT_EQ(m_stages.count(), 1U);
    EXPECT_EQ(m_stages.sent(0).request.payload, R"({"input":{"text":"x"},"results":[]})");
    m_stages.answerDone(0, R"({"vector":[1]})");
    ASSERT_EQ(m_stages.count(), 2U);
    EXPECT_EQ(m_stages.sent(1).request.payload,
              R"({"input":{"text":"x"},"results":[{"stage":"encode","result":{"vector":[1]}}]})");
    m_stages.answerDone(1, R"({"text":"plan"})");
    ASSERT_TRUE(m_caller.m_answer);
    EXPECT_EQ(m_caller.m_answer->outcome, RequestOutcome::Done);
    EXPECT_EQ(m_caller.m_answer->result, R"({"text":"plan"})");
    EXPECT_EQ(m_requests->activeRequests(), 0U);
    EXPECT_EQ(m_selector.m_running, 0);
}

TEST_F(RequestRunTest, NoHostBeforeAnyStageRan_OutcomeIsNotRun)
{
    m_selector.m_hosts.clear();
    start("answer");
    m_scheduler.advance(Milliseconds(1000));
    ASSERT_TRUE(m_caller.m_answer);
    EXPECT_EQ(m_caller.m_answer->outcome, RequestOutcome::NotRun);
    EXPECT_TRUE(m_caller.m_answer->safeToRepeat);
}

TEST_F(RequestRunTest, StageRefusedAfterEarlierStageRan_OutcomeIsUnknown)
{
    start("answer");
    m_stages.answerDone(0, "{}");
    m_selector.m_hosts.clear();
    m_stages.answerFailed(1, protocol::StageStatus::NotRun, protocol::RefusalReason::Full);
    m_scheduler.advance(Milliseconds(1000));
    ASSERT_TRUE(m_caller.m_answer);
    EXPECT_EQ(m_caller.m_answer->outcome, RequestOutcome::Unknown);
    EXPECT_TRUE(m_caller.m_answer->safeToRepeat);
}

TEST_F(RequestRunTest, StageRefusedByHost_IsRetriedAsNewAttempt)
{
    start("answer");
    m_stages.answerFailed(0, protocol::StageStatus::NotRun, protocol::RefusalReason::Cold);
    m_scheduler.advance(Milliseconds(50));
    ASSERT_EQ(m_stages.count(), 2U);
    EXPECT_NE(m_stages.sent(0).request.attempt, m_stages.sent(1).request.attempt);
}

TEST_F(RequestRunTest, DuplicateAndForeignChunks_AreDroppedAndTextStaysInOrder)
{
    start("answer", true);
    m_stages.answerDone(0, "{}");
    m_stages.chunk(1, 0, "a");
    m_stages.chunk(1, 0, "a");
    m_stages.sent(1).observer->onChunk(
        {framework::AttemptId(99), 1, framework::TokenCount(1), "foreign"});
    m_stages.chunk(1, 2, "c");
    m_stages.chunk(1, 1, "b");
    protocol::StageResult result;
    result.status = protocol::StageStatus::Done;
    result.chunks = 3;
    m_stages.answer(1, result);
    EXPECT_EQ(m_caller.m_text, "abc");
    EXPECT_NE(m_metrics->prometheusText().find("lavendertally_dropped_chunks_total 2"),
              std::string::npos);
    ASSERT_TRUE(m_caller.m_answer);
    EXPECT_EQ(m_caller.m_answer->outcome, RequestOutcome::Done);
}

// Guards against an entry that keeps in memory what its caller does not read.
TEST_F(RequestRunTest, CallerReadsTooSlowly_HostIsHeldBackUntilItHasCaughtUp)
{
    start("answer", true);
    m_stages.answerDone(0, "{}");
    m_stages.chunk(1, 0, "a");
    EXPECT_FALSE(m_stages.sent(1).isPaused);
    m_caller.m_isBehind = true;
    m_stages.chunk(1, 1, "b");
    EXPECT_TRUE(m_stages.sent(1).isPaused);
    m_caller.m_caughtUp();
    EXPECT_FALSE(m_stages.sent(1).isPaused);
}

TEST_F(RequestRunTest, StreamedAnswerMissesChunk_StageIsRetriedAndTextRestarts)
{
    start("answer", true);
    m_stages.answerDone(0, "{}");
    m_stages.chunk(1, 0, "lost attempt");
    protocol::StageResult result;
    result.status = protocol::StageStatus::Done;
    result.chunks = 2;
    m_stages.answer(1, result);
    m_scheduler.advance(Milliseconds(50));
    ASSERT_EQ(m_stages.count(), 3U);
    EXPECT_EQ(m_caller.m_text, "");
    m_stages.chunk(2, 0, "whole");
    result.chunks = 1;
    m_stages.answer(2, result);
    EXPECT_EQ(m_caller.m_text, "whole");
    EXPECT_EQ(m_caller.m_answer->outcome, RequestOutcome::Done);
}

TEST_F(RequestRunTest, NonIdempotentStageWithUnknownResult_IsNotRetried)
{
    startBooking();
    m_stages.answerFailed(0, protocol::StageStatus::Unknown);
    m_scheduler.advance(Milliseconds(2000));
    EXPECT_EQ(m_stages.count(), 1U);
    EXPECT_EQ(m_caller.m_answer->outcome, RequestOutcome::Unknown);
    EXPECT_FALSE(m_caller.m_answer->safeToRepeat);
    EXPECT_EQ(m_claims.m_notRun, 0);
}

TEST_F(RequestRunTest, DeadlineDuringNonIdempotentStage_CallFinishesAndResultIsRecorded)
{
    startBooking();
    m_scheduler.advance(Milliseconds(1000));
    EXPECT_EQ(m_caller.m_answer->outcome, RequestOutcome::Unknown);
    EXPECT_FALSE(m_stages.isCancelled(0));
    m_stages.answerDone(0, R"({"receipt":"r1"})");
    EXPECT_EQ(m_claims.m_done, std::vector<std::string>{R"({"receipt":"r1"})"});
    EXPECT_EQ(m_requests->activeRequests(), 0U);
}

TEST_F(RequestRunTest, ClaimNotGranted_StageDoesNotRunAndOutcomeFollowsClaim)
{
    struct Case
    {
        claims::ClaimOutcome claim;
        RequestOutcome outcome;
    };
    for (const Case &item : {Case{claims::ClaimOutcome::AlreadyDone, RequestOutcome::Done},
                             Case{claims::ClaimOutcome::HeldElsewhere, RequestOutcome::Unknown},
                             Case{claims::ClaimOutcome::Unavailable, RequestOutcome::NotRun},
                             Case{claims::ClaimOutcome::TooOld, RequestOutcome::NotRun}}) {
        m_caller.m_answer.reset();
        start("booking");
        m_claims.answer(item.claim, R"({"receipt":"r1"})");
        ASSERT_TRUE(m_caller.m_answer);
        EXPECT_EQ(m_caller.m_answer->outcome, item.outcome);
        EXPECT_EQ(m_stages.count(), 0U);
    }
}

TEST_F(RequestRunTest, ClaimGrantedAfterRequestEnded_IsReleased)
{
    start("booking");
    m_scheduler.advance(Milliseconds(1000));
    EXPECT_EQ(m_caller.m_answer->outcome, RequestOutcome::NotRun);
    m_claims.answer(claims::ClaimOutcome::Granted);
    EXPECT_EQ(m_claims.m_notRun, 1);
    EXPECT_EQ(m_stages.count(), 0U);
}

TEST_F(RequestRunTest, CallerDisconnects_OnlyIdempotentStageIsCancelled)
{
    m_requests->abandon(start("answer"));
    EXPECT_TRUE(m_stages.isCancelled(0));
    EXPECT_EQ(m_requests->activeRequests(), 0U);
    const auto booking = start("booking");
    m_claims.answer(claims::ClaimOutcome::Granted);
    m_requests->abandon(booking);
    EXPECT_FALSE(m_stages.isCancelled(1));
    m_stages.answerDone(1, "{}");
    EXPECT_EQ(m_claims.m_done.size(), 1U);
    EXPECT_FALSE(m_caller.m_answer);
}

TEST_F(RequestRunTest, Draining_NewRequestIsRefusedAndActiveOneFinishes)
{
    start("answer");
    m_requests->beginDrain();
    RecordingCaller rejectedCaller;
    CallerRequest request;
    request.id = framework::RequestId("r-2");
    request.team = m_team;
    request.pipeline = framework::PipelineId("answer");
    m_requests->start(request, rejectedCaller);
    m_scheduler.advance(Milliseconds(0));
    ASSERT_TRUE(rejectedCaller.m_answer);
    EXPECT_EQ(rejectedCaller.m_answer->reason, protocol::RefusalReason::Leaving);
    m_stages.answerDone(0, "{}");
    m_stages.answerDone(1, "{}");
    EXPECT_EQ(m_caller.m_answer->outcome, RequestOutcome::Done);
}
