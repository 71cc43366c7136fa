#include "host/internal/hostservice.h"

#include "accounting/accountingmodule.h"
#include "accounting/icostledger.h"
#include "admission/admissionmodule.h"
#include "admission/iadmissioncontroller.h"
#include "admission/types/admissionlimits.h"
#include "admission/types/admissionpolicy.h"
#include "backends/types/backendresult.h"
#include "configuration/iconfigurationstore.h"
#include "configuration/types/configurationview.h"
#include "framework/frameworkmodule.h"
#include "framework/imetrics.h"
#include "framework/testing/fakeclock.h"
#include "framework/testing/fakescheduler.h"
#include "framework/testing/nulllogger.h"
#include "host/ientrylistener.h"
#include "host/internal/hostcall.h"
#include "host/tests/fakebackend.h"
#include "membership/iadmissiongate.h"
#include "membership/membershipmodule.h"
#include "protocol/types/stagerequest.h"
#include "transport/istageresponder.h"

#include <gtest/gtest.h>

#include <map>

using namespace lavendertally;
using namespace lavendertally::host;
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

class NullEntryListener final : public IEntryListener
{
public:
    void onEntryRevision(const framework::DaemonId & /*sender*/,
                         framework::LogOffset /*revision*/) override
    { }
};

using Results = std::map<framework::AttemptId, protocol::StageResult>;

class RecordingResponder final : public transport::IStageResponder
{
public:
    RecordingResponder(Results &results, const bool &isBehind, std::function<void()> &caughtUp)
        : m_results(results), m_isBehind(isBehind), m_caughtUp(caughtUp)
    { }

    void sendChunk(const protocol::StageChunk & /*chunk*/) override { }
    bool isBehind() const override { return m_isBehind; }
    void onCaughtUp(std::function<void()> callback) override { m_caughtUp = std::move(callback); }
    void sendResult(const protocol::StageResult &result) override
    {
        EXPECT_TRUE(m_results.emplace(result.attempt, result).second) << "answered twice";
    }

private:
    Results &m_results;
    const bool &m_isBehind;
    std::function<void()> &m_caughtUp;
};

} // namespace

class HostServiceTest : public testing::Test
{
protected:
    HostServiceTest()
    {
        configuration::Service service;
        service.id = m_serviceId;
        service.kind = configuration::ServiceKind::Generate;
        service.concurrency = 4;
        service.coldConcurrency = 4;
        service.queueLength = 4;
        m_store.m_view->configuration.services[m_serviceId] = service;
        m_store.m_view->revision = framework::LogOffset(1);
        m_gate->setConfigurationCurrent(true);
        m_service = std::make_unique<HostService>(HostServiceContext{
            framework::HostId("h1"), m_serviceId, m_clock, m_scheduler, m_logger, *m_metrics,
            m_store, *m_costs, *m_admission, *m_gate, m_backend, m_entries});
        m_scheduler.advance(Milliseconds(0));
        m_backend.reportHealth(7);
    }

    /// \return function that cancels the call
    std::function<void()> send(std::uint64_t attempt, int maxTokens = 8)
    {
        protocol::StageRequest request;
        request.sender = framework::DaemonId("entry-1");
        request.attempt = framework::AttemptId(attempt);
        request.service = m_serviceId;
        request.budget = Milliseconds(1000);
        request.maxTokens = framework::TokenCount(maxTokens);
        request.idempotent = true;
        request.stream = true;
        return m_service->handle(
            request,
            std::make_shared<RecordingResponder>(m_results, m_isEntryBehind, m_entryCaughtUp));
    }

    const protocol::StageResult &result(std::uint64_t attempt)
    {
        return m_results.at(framework::AttemptId(attempt));
    }
    bool isAnswered(std::uint64_t attempt) const
    {
        return m_results.contains(framework::AttemptId(attempt));
    }
    void lose(std::size_t call)
    {
        m_backend.m_calls[call]->onFailed(backends::BackendError::Unknown, "connection broke");
    }
    void text(std::size_t call)
    {
        m_backend.m_calls[call]->onChunk("word ", framework::TokenCount(1));
    }

    framework::ServiceId m_serviceId{"generator"};
    framework::FakeClock m_clock;
    framework::FakeScheduler m_scheduler{m_clock};
    framework::NullLogger m_logger;
    std::unique_ptr<framework::IMetrics> m_metrics = framework::FrameworkModule::makeMetrics();
    FakeConfigurationStore m_store;
    std::unique_ptr<accounting::ICostLedger> m_costs =
        accounting::AccountingModule::makeLedger(*m_metrics);
    std::unique_ptr<admission::IAdmissionController> m_admission =
        admission::AdmissionModule::makeController({}, {});
    std::unique_ptr<membership::IAdmissionGate> m_gate =
        membership::MembershipModule::makeAdmissionGate(framework::HostId("h1"),
                                                        framework::AvailabilityZoneId("a"));
    FakeBackend m_backend;
    NullEntryListener m_entries;
    Results m_results;
    /// Whether the entry reads too slowly.
    bool m_isEntryBehind = false;
    std::function<void()> m_entryCaughtUp;
    std::unique_ptr<HostService> m_service;
};

TEST_F(HostServiceTest, BackendCrashesBeforeAnswers_ResultsOfLostCallsHaveSameCrash)
{
    send(1);
    send(2);
    ASSERT_EQ(m_backend.m_calls.size(), 2U);
    text(1);
    lose(0);
    lose(1);
    EXPECT_FALSE(isAnswered(1));
    m_backend.answerProbes(http::ProbeResult::NotListening);
    ASSERT_TRUE(isAnswered(1));
    ASSERT_TRUE(isAnswered(2));
    EXPECT_EQ(result(1).status, protocol::StageStatus::Unknown);
    ASSERT_TRUE(result(1).crash.has_value());
    EXPECT_EQ(result(1).crash, result(2).crash);
    EXPECT_EQ(m_service->activeCalls(), 0U);
}

TEST_F(HostServiceTest, BackendCrashesAgainAfterRestart_CrashIsAnother)
{
    send(1);
    lose(0);
    m_backend.answerProbes(http::ProbeResult::NotListening);
    m_scheduler.advance(Milliseconds(500));
    m_backend.reportHealth(8);
    send(2);
    ASSERT_EQ(m_backend.m_calls.size(), 2U);
    lose(1);
    m_backend.answerProbes(http::ProbeResult::NotListening);
    ASSERT_TRUE(isAnswered(2));
    EXPECT_NE(result(1).crash, result(2).crash);
}

TEST_F(HostServiceTest, BackendStillListensOrIsSilent_ResultHasNoCrash)
{
    send(1);
    lose(0);
    m_backend.answerProbes(http::ProbeResult::Listening);
    EXPECT_FALSE(result(1).crash.has_value());
    send(2);
    lose(1);
    m_backend.answerProbes(http::ProbeResult::Silent);
    EXPECT_FALSE(result(2).crash.has_value());
}

TEST_F(HostServiceTest, CallLostAfterAnswerBegan_IsAnsweredAtOnceWithoutCrash)
{
    send(1);
    text(0);
    text(0);
    lose(0);
    ASSERT_TRUE(isAnswered(1));
    EXPECT_FALSE(result(1).crash.has_value());
    EXPECT_TRUE(m_backend.m_probes.empty());
}

TEST_F(HostServiceTest, LostCallGeneratesNothing_IsAnsweredAtOnceWithoutCrash)
{
    send(1, 0);
    lose(0);
    ASSERT_TRUE(isAnswered(1));
    EXPECT_FALSE(result(1).crash.has_value());
}

TEST_F(HostServiceTest, EntryHangsUpWhileLostCallIsExamined_NothingIsAnsweredLater)
{
    const auto cancel = send(1);
    lose(0);
    cancel();
    EXPECT_EQ(result(1).reason, protocol::RefusalReason::Cancelled);
    m_backend.answerProbes(http::ProbeResult::NotListening);
    EXPECT_EQ(m_service->activeCalls(), 0U);
}

TEST_F(HostServiceTest, BackendNamesRateLimit_NextCallsKeepToIt)
{
    send(1);
    ASSERT_EQ(m_backend.m_calls.size(), 1U);
    m_backend.m_calls[0]->onAnswerHead(framework::RequestRate(4000));
    for (std::uint64_t number = 2; number <= 9; ++number) {
        send(number);
    }
    EXPECT_EQ(m_backend.m_calls.size(), 2U);
    for (std::size_t call = 0; call < 2; ++call) {
        m_backend.m_calls[call]->onDone({});
    }
    ASSERT_EQ(m_backend.m_calls.size(), 2U) << "slots are free, the limit is not";
    m_scheduler.advance(Milliseconds(250));
    EXPECT_EQ(m_backend.m_calls.size(), 3U);
    m_scheduler.advance(Milliseconds(250));
    EXPECT_EQ(m_backend.m_calls.size(), 4U);
}

// Guards against a host process that keeps in memory what its entry does not read.
TEST_F(HostServiceTest, EntryReadsTooSlowly_BackendServerIsHeldBackUntilItHasCaughtUp)
{
    send(1);
    text(0);
    EXPECT_EQ(m_backend.m_paused, 0);
    m_isEntryBehind = true;
    text(0);
    text(0);
    EXPECT_EQ(m_backend.m_paused, 1);
    m_isEntryBehind = false;
    m_entryCaughtUp();
    EXPECT_EQ(m_backend.m_paused, 0);
}

// Guards against blame for a backend server whose time has run out while it was held back.
TEST_F(HostServiceTest, TimeRunsOutWhileHeldBack_BackendServerIsNotProbed)
{
    send(1);
    m_isEntryBehind = true;
    text(0);
    lose(0);
    ASSERT_TRUE(isAnswered(1));
    EXPECT_EQ(result(1).status, protocol::StageStatus::Unknown);
    EXPECT_TRUE(m_backend.m_probes.empty());
}
