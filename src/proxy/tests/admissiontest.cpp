#include "proxy/tests/proxyfixture.h"

using namespace lavendertally;
using namespace lavendertally::proxy;

using ProxyAdmissionTest = ProxyFixture;

TEST_F(ProxyAdmissionTest, WithoutAConfigurationNothingIsDenied)
{
    m_serving.clear();
    EXPECT_EQ(start("read")->refusal, RefusalKind::NotRun);
    EXPECT_EQ(start("unheard")->refusal, RefusalKind::NotRun);
}

TEST_F(ProxyAdmissionTest, UnknownRouteIsDenied)
{
    EXPECT_EQ(start("unheard")->refusal, RefusalKind::NoRoute);
}

TEST_F(ProxyAdmissionTest, UnknownKeyIsDenied)
{
    ClientRequest stranger = request("read");
    stranger.key = framework::ApiKey("stolen");
    EXPECT_EQ(start(stranger)->refusal, RefusalKind::UnknownKey);
    EXPECT_TRUE(m_backends.m_sent.empty());
}

TEST_F(ProxyAdmissionTest, PublicRouteNeedsNoKey)
{
    ClientRequest stranger = request("open");
    stranger.key = {};
    start(stranger);
    ASSERT_EQ(m_backends.m_sent.size(), 1U);
    EXPECT_TRUE(sent().request.team.isEmpty());
}

TEST_F(ProxyAdmissionTest, BackendServerLearnsTheTeam)
{
    start("read");
    ASSERT_EQ(m_backends.m_sent.size(), 1U);
    EXPECT_EQ(sent().request.team.value(), "members");
}

TEST_F(ProxyAdmissionTest, KeyIsNotTrustedOnceItMayHaveBeenRevoked)
{
    advance(3999);
    start("read");
    EXPECT_EQ(m_backends.m_sent.size(), 1U);
    advance(2);
    EXPECT_EQ(start("read")->refusal, RefusalKind::NotRun);
    EXPECT_EQ(m_backends.m_sent.size(), 1U);
}

TEST_F(ProxyAdmissionTest, ProcessThatWasSuspendedDoesNotTrustItsKeys)
{
    // The clock goes on while timers do not fire.
    m_clock.advance(framework::Milliseconds(60000));
    EXPECT_EQ(start("read")->refusal, RefusalKind::NotRun);
    EXPECT_TRUE(m_backends.m_sent.empty());
}

TEST_F(ProxyAdmissionTest, DrainingServiceRefusesNewRequestsAndEndsOldOnes)
{
    const auto under = start("read");
    m_service->beginDrain();
    EXPECT_EQ(start("read")->refusal, RefusalKind::NotRun);
    m_service->endAll();
    EXPECT_EQ(under->refusal, RefusalKind::TimedOut);
    EXPECT_EQ(m_service->activeRequests(), 0U);
}

TEST_F(ProxyAdmissionTest, NoBackendServerIsAnHonestRefusal)
{
    m_servers.remove(framework::BackendServerId("w1"));
    m_servers.remove(framework::BackendServerId("w2"));
    EXPECT_EQ(start("book")->refusal, RefusalKind::NotRun);
}

TEST_F(ProxyAdmissionTest, BackendServerIsNotGivenMoreTimeThanIsLeft)
{
    ClientRequest patient = request("read");
    patient.timeLeft = framework::Milliseconds(5000);
    start(patient);
    EXPECT_EQ(sent().request.timeLeft, framework::Milliseconds(1000));
    start("read");
    EXPECT_EQ(sent(1).request.timeLeft, framework::Milliseconds(800));
}
