#include "pipeline/tests/requestrunfixture.h"

#include <gtest/gtest.h>

using namespace lavendertally;
using namespace lavendertally::pipeline;
using framework::Milliseconds;

namespace {

constexpr framework::PromptPartId Part(11);
constexpr framework::PromptPartId OtherPart(12);
/// Longer than any wait for an explanation or backoff.
constexpr Milliseconds LongEnough(900);

} // namespace

class RunQuarantineTest : public RequestRunTest
{
protected:
    RunQuarantineTest() { m_promptParts = {Part}; }

    /// Starts a request and completes its first stage, which generates nothing.
    /// \return index of the call of its second stage
    std::size_t startWriting(bool stream = false)
    {
        m_caller = RecordingCaller();
        start("answer", stream);
        m_stages.answerDone(m_stages.count() - 1, "{}");
        return m_stages.count() - 1;
    }

    /// Lets a request with the part crash a backend server.
    void crash(std::uint64_t id)
    {
        const std::size_t call = startWriting();
        m_stages.answerCrashed(call, framework::CrashId(id));
        m_scheduler.advance(LongEnough);
    }

    void expectRefused()
    {
        const std::size_t before = m_stages.count();
        m_caller = RecordingCaller();
        start("answer");
        EXPECT_EQ(m_stages.count(), before);
        ASSERT_TRUE(m_caller.m_answer);
        EXPECT_EQ(m_caller.m_answer->outcome, RequestOutcome::NotRun);
        EXPECT_EQ(m_caller.m_answer->reason, protocol::RefusalReason::PromptQuarantined);
        EXPECT_TRUE(m_caller.m_answer->safeToRepeat);
    }
};

TEST_F(RunQuarantineTest, BackendCrashesOnUnknownPrompt_RequestIsNotSentToSecondHost)
{
    crash(1);
    EXPECT_EQ(m_stages.count(), 2U);
    ASSERT_TRUE(m_caller.m_answer);
    EXPECT_EQ(m_caller.m_answer->outcome, RequestOutcome::Unknown);
    EXPECT_EQ(m_caller.m_answer->reason, protocol::RefusalReason::PromptQuarantined);
    EXPECT_TRUE(m_caller.m_answer->safeToRepeat);
    EXPECT_EQ(m_requests->activeRequests(), 0U);
}

TEST_F(RunQuarantineTest, AttemptLostWithoutCrash_IsRepeated)
{
    const std::size_t call = startWriting();
    m_stages.answerFailed(call, protocol::StageStatus::Unknown);
    m_scheduler.advance(Milliseconds(50));
    ASSERT_EQ(m_stages.count(), 3U);
    m_stages.answerDone(2, "{}");
    ASSERT_TRUE(m_caller.m_answer);
    EXPECT_EQ(m_caller.m_answer->outcome, RequestOutcome::Done);
}

TEST_F(RunQuarantineTest, PartCrashedTwice_RequestIsRefusedBeforeAnyStage)
{
    crash(1);
    crash(2);
    expectRefused();
    ASSERT_TRUE(m_caller.m_answer);
    const quarantine::PartAssessment assessment = m_quarantine->assess({Part}, m_clock.now());
    EXPECT_EQ(assessment.standing, quarantine::PartStanding::Blamed);
    EXPECT_GT(assessment.retryAfter, Milliseconds(0));
    EXPECT_EQ(m_caller.m_answer->retryAfter, assessment.retryAfter);
}

TEST_F(RunQuarantineTest, PartCrashedTwice_OtherRequestsRun)
{
    crash(1);
    crash(2);
    m_promptParts = {OtherPart};
    const std::size_t call = startWriting();
    m_stages.answerDone(call, "{}");
    ASSERT_TRUE(m_caller.m_answer);
    EXPECT_EQ(m_caller.m_answer->outcome, RequestOutcome::Done);
}

TEST_F(RunQuarantineTest, PartCrashedTwice_PipelineThatGeneratesNothingRuns)
{
    crash(1);
    crash(2);
    m_caller = RecordingCaller();
    startBooking();
    m_stages.answerDone(m_stages.count() - 1, "{}");
    ASSERT_TRUE(m_caller.m_answer);
    EXPECT_EQ(m_caller.m_answer->outcome, RequestOutcome::Done);
}

TEST_F(RunQuarantineTest, SuspectedPartIsOnTrial_SecondRequestIsRefused)
{
    crash(1);
    const std::size_t trial = startWriting();
    RecordingCaller waiting;
    CallerRequest request;
    request.id = framework::RequestId("r-2");
    request.team = m_team;
    request.pipeline = framework::PipelineId("answer");
    request.input = "{}";
    request.promptParts = m_promptParts;
    m_requests->start(request, waiting);
    m_scheduler.advance(Milliseconds(0));
    ASSERT_TRUE(waiting.m_answer);
    EXPECT_EQ(waiting.m_answer->outcome, RequestOutcome::NotRun);
    EXPECT_EQ(waiting.m_answer->reason, protocol::RefusalReason::PromptQuarantined);
    EXPECT_GT(waiting.m_answer->retryAfter, Milliseconds(0));
    m_stages.answerDone(trial, "{}");
    ASSERT_TRUE(m_caller.m_answer);
    EXPECT_EQ(m_caller.m_answer->outcome, RequestOutcome::Done);
    m_stages.answerDone(startWriting(), "{}");
    ASSERT_TRUE(m_caller.m_answer);
    EXPECT_EQ(m_caller.m_answer->outcome, RequestOutcome::Done);
}

TEST_F(RunQuarantineTest, TrialEndsWithoutAnswer_NextRequestMayTry)
{
    crash(1);
    m_requests->abandon([this] {
        const auto ticket = start("answer");
        m_stages.answerDone(m_stages.count() - 1, "{}");
        return ticket;
    }());
    const std::size_t refused = startWriting();
    m_stages.answerFailed(refused, protocol::StageStatus::NotRun, protocol::RefusalReason::Full);
    m_scheduler.advance(Milliseconds(50));
    const std::size_t trial = m_stages.count() - 1;
    EXPECT_EQ(trial, refused + 1);
    m_stages.answerDone(trial, "{}");
    ASSERT_TRUE(m_caller.m_answer);
    EXPECT_EQ(m_caller.m_answer->outcome, RequestOutcome::Done);
}

TEST_F(RunQuarantineTest, PartBlamedDuringEarlierStage_OutcomeIsUnknown)
{
    start("answer");
    const framework::TimePoint now = m_clock.now();
    m_quarantine->serverCrashed({Part}, framework::CrashId(1), now, now + Milliseconds(1));
    m_quarantine->serverCrashed({Part}, framework::CrashId(2), now + Milliseconds(2),
                                now + Milliseconds(3));
    m_stages.answerDone(0, "{}");
    EXPECT_EQ(m_stages.count(), 1U);
    ASSERT_TRUE(m_caller.m_answer);
    EXPECT_EQ(m_caller.m_answer->outcome, RequestOutcome::Unknown);
    EXPECT_EQ(m_caller.m_answer->reason, protocol::RefusalReason::PromptQuarantined);
}

TEST_F(RunQuarantineTest, CrashOfKnownGoodPart_AttemptIsRepeated)
{
    m_stages.answerDone(startWriting(), "{}");
    m_scheduler.advance(Milliseconds(10));
    const std::size_t call = startWriting();
    m_stages.answerCrashed(call, framework::CrashId(1));
    m_scheduler.advance(Milliseconds(50));
    ASSERT_EQ(m_stages.count(), call + 2);
    m_stages.answerDone(call + 1, "{}");
    ASSERT_TRUE(m_caller.m_answer);
    EXPECT_EQ(m_caller.m_answer->outcome, RequestOutcome::Done);
}

TEST_F(RunQuarantineTest, TextOfAnswerCame_PartIsClear)
{
    crash(1);
    const std::size_t call = startWriting(true);
    m_stages.chunk(call, 0, "one ");
    m_stages.chunk(call, 1, "two ");
    EXPECT_EQ(m_quarantine->assess({Part}, m_clock.now()).standing,
              quarantine::PartStanding::Clear);
    m_stages.answerCrashed(call, framework::CrashId(2));
    m_scheduler.advance(Milliseconds(50));
    EXPECT_EQ(m_stages.count(), call + 2);
}

TEST_F(RunQuarantineTest, BlamedPartExplainsCrash_SoundRequestIsRepeated)
{
    crash(1);
    m_promptParts = {OtherPart};
    const std::size_t sound = startWriting();
    const framework::TimePoint sent = m_clock.now();
    m_scheduler.advance(Milliseconds(10));
    m_stages.answerCrashed(sound, framework::CrashId(2));
    m_quarantine->serverCrashed({Part}, framework::CrashId(2), sent, m_clock.now());
    m_scheduler.advance(Milliseconds(300));
    ASSERT_EQ(m_stages.count(), sound + 2);
    m_stages.answerDone(sound + 1, "{}");
    ASSERT_TRUE(m_caller.m_answer);
    EXPECT_EQ(m_caller.m_answer->outcome, RequestOutcome::Done);
}
