#include "proxy/internal/teamlabels.h"
#include "proxy/tests/proxyfixture.h"

using namespace lavendertally;
using namespace lavendertally::proxy;

using ProxyAdmissionTest = ProxyFixture;

TEST_F(ProxyAdmissionTest, ConfigurationConfirmedDuringRequest_AgeAtArrivalIsLogged)
{
    m_serving.confirm(m_clock.now() - framework::Milliseconds(300));
    start("read");
    advance(500);
    m_serving.confirm(m_clock.now());
    respond(0, head(200));
    ASSERT_FALSE(m_logger.m_lines.empty());
    EXPECT_EQ(m_logger.m_lines.back().event, "request ended");
    EXPECT_EQ(m_logger.m_lines.back().fields.at("configuration_age_ms"), "300");
}

// Guards against refused or failed requests whose caller cannot be found out.
TEST_F(ProxyAdmissionTest, RequestEnds_LogAndMetricsNameItsTeamAndKindOfRoute)
{
    start("stream");
    m_service->endAll();
    const auto &fields = m_logger.m_lines.back().fields;
    EXPECT_EQ(fields.at("team"), "members");
    EXPECT_EQ(fields.at("route_kind"), "streaming");
    EXPECT_NE(m_metrics->prometheusText().find("team=\"members\""), std::string::npos);
}

// Guards against a time series for each of the 8,100 teams that a configuration may have.
TEST(TeamLabelsTest, MoreTeamsThanValues_FurtherOnesShareOne)
{
    TeamLabels labels(2);
    EXPECT_EQ(labels.of(framework::TeamId()), "none");
    EXPECT_EQ(labels.of(framework::TeamId("a")), "a");
    EXPECT_EQ(labels.of(framework::TeamId("b")), "b");
    EXPECT_EQ(labels.of(framework::TeamId("c")), "other");
    EXPECT_EQ(labels.of(framework::TeamId("a")), "a");
}

TEST_F(ProxyAdmissionTest, NoConfigurationYet_RequestIsRefusedAsNotRun)
{
    m_serving.clear();
    EXPECT_EQ(start("read")->refusal, RefusalKind::NotRun);
    EXPECT_EQ(start("unknown")->refusal, RefusalKind::NotRun);
}

TEST_F(ProxyAdmissionTest, NoRouteMatches_RequestIsRefusedAsNoRoute)
{
    EXPECT_EQ(start("unknown")->refusal, RefusalKind::NoRoute);
}

TEST_F(ProxyAdmissionTest, UnknownApiKey_RequestIsRefusedAndNotSent)
{
    ClientRequest clientRequest = request("read");
    clientRequest.key = framework::ApiKey("stolen");
    EXPECT_EQ(start(clientRequest)->refusal, RefusalKind::UnknownKey);
    EXPECT_TRUE(m_backends.m_sent.empty());
}

TEST_F(ProxyAdmissionTest, PublicRouteWithoutApiKey_RequestIsSentWithoutTeam)
{
    ClientRequest clientRequest = request("open");
    clientRequest.key = {};
    start(clientRequest);
    ASSERT_EQ(m_backends.m_sent.size(), 1U);
    EXPECT_TRUE(sent().request.team.isEmpty());
}

TEST_F(ProxyAdmissionTest, KnownApiKey_TeamIsPassedToBackendServer)
{
    start("read");
    ASSERT_EQ(m_backends.m_sent.size(), 1U);
    EXPECT_EQ(sent().request.team.value(), "members");
}

TEST_F(ProxyAdmissionTest, ConfigurationNotConfirmedInTime_ApiKeyIsNotAccepted)
{
    advance(3999);
    start("read");
    EXPECT_EQ(m_backends.m_sent.size(), 1U);
    advance(2);
    EXPECT_EQ(start("read")->refusal, RefusalKind::NotRun);
    EXPECT_EQ(m_backends.m_sent.size(), 1U);
}

TEST_F(ProxyAdmissionTest, ProcessWasSuspended_ApiKeyIsNotAccepted)
{
    // While a process is suspended, the clock advances but no timer fires.
    m_clock.advance(framework::Milliseconds(60000));
    EXPECT_EQ(start("read")->refusal, RefusalKind::NotRun);
    EXPECT_TRUE(m_backends.m_sent.empty());
}

TEST_F(ProxyAdmissionTest, Draining_NewRequestsAreRefusedAndEndAllEndsOldOnes)
{
    const auto inFlight = start("read");
    m_service->beginDrain();
    EXPECT_EQ(start("read")->refusal, RefusalKind::NotRun);
    m_service->endAll();
    EXPECT_EQ(inFlight->refusal, RefusalKind::TimedOut);
    EXPECT_EQ(m_service->activeRequests(), 0U);
}

// Guards against requests that are taken late in a shutdown, passed on, and cut at its end.
TEST_F(ProxyAdmissionTest, RequestWouldOutlastTheShutdown_IsRefusedBeforeItIsSent)
{
    constexpr int Measurements = 8;
    for (int each = 0; each < Measurements; ++each) {
        start("book");
        advance(500);
        respond(m_backends.m_sent.size() - 1, head(200));
        start("open");
        respond(m_backends.m_sent.size() - 1, head(200));
    }
    m_serving.confirm(m_clock.now());
    const std::size_t sentBefore = m_backends.m_sent.size();
    m_service->endBy(m_clock.now() + framework::Milliseconds(300));
    EXPECT_EQ(start("book")->refusal, RefusalKind::NotRun);
    EXPECT_EQ(m_backends.m_sent.size(), sentBefore);
    EXPECT_FALSE(start("open")->refusal);
    EXPECT_EQ(m_backends.m_sent.size(), sentBefore + 1);
}

TEST_F(ProxyAdmissionTest, RequestEndsWellBeforeTheShutdownDoes_IsServed)
{
    start("book");
    advance(500);
    respond(0, head(200));
    m_serving.confirm(m_clock.now());
    m_service->endBy(m_clock.now() + framework::Milliseconds(5000));
    EXPECT_FALSE(start("book")->refusal);
    EXPECT_EQ(m_backends.m_sent.size(), 2U);
}

TEST_F(ProxyAdmissionTest, NoBackendServer_RequestIsRefusedAsNotRun)
{
    m_servers.remove(framework::BackendServerId("w1"));
    m_servers.remove(framework::BackendServerId("w2"));
    EXPECT_EQ(start("book")->refusal, RefusalKind::NotRun);
}

TEST_F(ProxyAdmissionTest, TimeLimitsOfClientAndRoute_ShorterOneIsPassedToBackendServer)
{
    ClientRequest longTimeout = request("read");
    longTimeout.timeLeft = framework::Milliseconds(5000);
    start(longTimeout);
    EXPECT_EQ(sent().request.timeLeft, framework::Milliseconds(1000));
    start("read");
    EXPECT_EQ(sent(1).request.timeLeft, framework::Milliseconds(800));
}
