#pragma once

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
#include "quarantine/ipromptquarantine.h"
#include "quarantine/quarantinemodule.h"
#include "retry/iretrypolicy.h"
#include "retry/istagebudget.h"
#include "retry/retrymodule.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lavendertally::pipeline {

/// Configuration that the test sets.
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

/// Caller that keeps what it receives.
class RecordingCaller final : public IRequestObserver
{
public:
    void onText(const std::string &text) override { m_text += text; }
    bool isBehind() const override { return m_isBehind; }
    void onCaughtUp(std::function<void()> callback) override { m_caughtUp = std::move(callback); }
    void onRestart() override { m_text.clear(); }
    void onAnswer(const CallerAnswer &answer) override
    {
        EXPECT_FALSE(m_answer.has_value()) << "onAnswer() was called more than once";
        m_answer = answer;
    }

    std::string m_text;
    std::optional<CallerAnswer> m_answer;
    /// Whether the caller reads too slowly.
    bool m_isBehind = false;
    std::function<void()> m_caughtUp;
};

/// Ignores what hosts report.
class NullHostListener final : public IHostListener
{
public:
    void onHostAnswer(const membership::HostEntry & /*host*/, protocol::RefusalReason /*reason*/,
                      framework::LogOffset /*revision*/) override
    { }
};

inline configuration::Stage makeStage(const std::string &name, std::vector<std::string> after)
{
    configuration::Stage stage;
    stage.id = framework::StageId(name);
    stage.service = framework::ServiceId(name + "-service");
    for (std::string &needed : after) {
        stage.after.emplace_back(std::move(needed));
    }
    return stage;
}

inline membership::HostEntry makeHost(const std::string &name)
{
    membership::HostEntry host;
    host.id = framework::HostId(name);
    return host;
}

/// Runs requests with two hosts, whose answers the test gives, through a pipeline that generates
/// text and one that may not be repeated.
class RequestRunTest : public testing::Test
{
protected:
    RequestRunTest()
    {
        configuration::Configuration &configuration = m_store.m_view->configuration;
        configuration.teams[m_team].id = m_team;
        configuration::Pipeline answer;
        answer.id = framework::PipelineId("answer");
        answer.deadline = framework::Milliseconds(1000);
        answer.stages = {makeStage("encode", {}), makeStage("write", {"encode"})};
        answer.stages.back().maxTokens = framework::TokenCount(8);
        configuration.pipelines[answer.id] = answer;
        configuration::Pipeline booking;
        booking.id = framework::PipelineId("booking");
        booking.deadline = framework::Milliseconds(1000);
        booking.stages = {makeStage("book", {})};
        booking.stages.front().idempotent = false;
        configuration.pipelines[booking.id] = booking;
        m_requests = PipelineModule::makeRequestService(
            {framework::DaemonId("entry-1"), framework::AvailabilityZoneId("a"), m_clock,
             m_scheduler, m_logger, *m_metrics, m_store, m_selector, *m_retries, *m_budgets,
             m_claims, m_stages, *m_quarantine, m_hosts});
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
        request.promptParts = m_promptParts;
        const auto ticket = m_requests->start(request, m_caller);
        m_scheduler.advance(framework::Milliseconds(0));
        return ticket;
    }

    void startBooking()
    {
        start("booking");
        m_claims.answer(claims::ClaimOutcome::Granted);
    }

    framework::TeamId m_team{"members"};
    std::vector<framework::PromptPartId> m_promptParts;
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
    std::unique_ptr<quarantine::IPromptQuarantine> m_quarantine =
        quarantine::QuarantineModule::makeQuarantine(m_logger, *m_metrics);
    NullHostListener m_hosts;
    RecordingCaller m_caller;
    std::unique_ptr<IRequestService> m_requests;
};

} // namespace lavendertally::pipeline
