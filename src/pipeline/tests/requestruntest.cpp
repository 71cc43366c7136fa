#include "configuration/iconfigurationstore.h"
#include "configuration/types/configurationview.h"
#include "framework/frameworkmodule.h"
#include "framework/imetrics.h"
#include "framework/irandom.h"
#include "framework/testing/fakeclock.h"
#include "framework/testing/fakescheduler.h"
#include "framework/testing/nulllogger.h"
#include "pipeline/ihostlistener.h"
#include "pipeline/irequestobserver.h"
#include "pipeline/irequestservice.h"
#include "pipeline/pipelinemodule.h"
#include "pipeline/tests/fakeclaimservice.h"
#include "pipeline/tests/fakeselector.h"
#include "pipeline/tests/fakestageclient.h"
#include "pipeline/types/pipelinecontext.h"
#include "retry/iretrypolicy.h"
#include "retry/istagebudget.h"
#include "retry/retrymodule.h"

#include <gtest/gtest.h>

#include <optional>

using namespace lavendertally;
using namespace lavendertally::pipeline;
using framework::Milliseconds;

namespace {

class FakeConfigurationStore final : public configuration::IConfigurationStore
{
public:
    std::shared_ptr<const configuration::ConfigurationView> current() const override
    {
        return m_view;
    }
    void onChange(std::function<void()> /*observer*/) override { }

    std::shared_ptr<configuration::ConfigurationView> m_view =
        std::make_shared<configuration::ConfigurationView>();
};

class RecordingCaller final : public IRequestObserver
{
public:
    void onText(const std::string &text) override { m_text += text; }
    void onRestart() override { m_text.clear(); }
    void onAnswer(const CallerAnswer &answer) override
    {
        EXPECT_FALSE(m_answer.has_value()) << "onAnswer() was called more than once";
        m_answer = answer;
    }

    std::string m_text;
    std::optional<CallerAnswer> m_answer;
};

class NullHostListener final : public IHostListener
{
public:
    void onHostAnswer(const membership::HostEntry & /*host*/, protocol::RefusalReason /*reason*/,
                      framework::LogOffset /*revision*/) override
    { }
};

configuration::Stage makeStage(const std::string &name, std::vector<std::string> after)
{
    configuration::Stage stage;
    stage.id = framework::StageId(name);
    stage.service = framework::ServiceId(name + "-service");
    for (std::string &needed : after) {
        stage.after.emplace_back(std::move(needed));
    }
    return stage;
}

membership::HostEntry makeHost(const std::string &name)
{
    membership::HostEntry host;
    host.id = framework::HostId(name);
    return host;
}

} // namespace

class RequestRunTest : public testing::Test
{
protected:
    RequestRunTest()
    {
        configuration::Configuration &configuration = m_store.m_view->configuration;
        configuration.teams[m_team].id = m_team;
        configuration::Pipeline answer;
        answer.id = framework::PipelineId("answer");
        answer.deadline = Milliseconds(1000);
        answer.stages = {makeStage("encode", {}), makeStage("write", {"encode"})};
        answer.stages.back().maxTokens = framework::TokenCount(8);
        configuration.pipelines[answer.id] = answer;
        configuration::Pipeline booking;
        booking.id = framework::PipelineId("booking");
        booking.deadline = Milliseconds(1000);
        booking.stages = {makeStage("book", {})};
        booking.stages.front().idempotent = false;
        configuration.pipelines[booking.id] = booking;
        m_requests = PipelineModule::makeRequestService(
            {framework::DaemonId("entry-1"), framework::AvailabilityZoneId("a"), m_clock,
             m_scheduler, m_logger, *m_metrics, m_store, m_selector, *m_retries, *m_budgets,
             m_claims, m_stages, m_hosts});
    }

    IRequestService::Ticket start(const std::string &pipeline, bool stream = false)
    {
        CallerRequest request;
        request.id = framework::RequestId("r-1");
        request.team = m_team;
        request.pipeline = framework::PipelineId(pipeline);
        request.issuedAt = m_clock.wallNow();
        request.input = R"({"text":"x"})";
        request.stream = stream;
        const auto ticket = m_requests->start(request, m_caller);
        m_scheduler.advance(Milliseconds(0));
        return ticket;
    }

    void startBooking()
    {
        start("booking");
        m_claims.answer(claims::ClaimOutcome::Granted);
    }

    framework::TeamId m_team{"members"};
    framework::FakeClock m_clock;
    framework::FakeScheduler m_scheduler{m_clock};
    framework::NullLogger m_logger;
    std::unique_ptr<framework::IMetrics> m_metrics = framework::FrameworkModule::makeMetrics();
    FakeConfigurationStore m_store;
    FakeSelector m_selector{{makeHost("h1"), makeHost("h2")}};
    std::unique_ptr<framework::IRandom> m_random = framework::FrameworkModule::makeRandom(1);
    std::unique_ptr<retry::IRetryPolicy> m_retries =
        retry::RetryModule::makeBudgetedRetryPolicy(*m_random);
    std::unique_ptr<retry::IStageBudget> m_budgets = retry::RetryModule::makeUndividedStageBudget();
    FakeClaimService m_claims;
    FakeStageClient m_stages;
    NullHostListener m_hosts;
    RecordingCaller m_caller;
    std::unique_ptr<IRequestService> m_requests;
};

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
