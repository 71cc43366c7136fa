#include "proxy/tests/proxyfixture.h"

using namespace lavendertally;
using namespace lavendertally::proxy;

using ProxyAttemptTest = ProxyFixture;

TEST_F(ProxyAttemptTest, WholeAnswerIsPassedOn)
{
    const auto received = start("book");
    answer(0, head(200), "booked");
    EXPECT_EQ(received->status, 200);
    EXPECT_EQ(received->body, "booked");
    EXPECT_EQ(m_service->activeRequests(), 0U);
}

TEST_F(ProxyAttemptTest, BackendServersOwnFailureIsPassedOn)
{
    const auto received = start("book");
    answer(0, head(500), "no");
    EXPECT_EQ(received->status, 500);
    EXPECT_EQ(m_backends.m_sent.size(), 1U);
}

TEST_F(ProxyAttemptTest, RequestThatMayHaveRunOnceIsNeverSentAgain)
{
    const auto received = start("book");
    sent().observer->onEnd(BackendCallEnd::Broken);
    advance(500);
    EXPECT_EQ(m_backends.m_sent.size(), 1U);
    EXPECT_EQ(received->refusal, RefusalKind::ResponseLost);
}

TEST_F(ProxyAttemptTest, SilenceUntilTheTimeIsUpIsNoPromise)
{
    const auto received = start("book");
    advance(801);
    EXPECT_EQ(received->refusal, RefusalKind::TimedOut);
    EXPECT_FALSE(*sent().live);
}

TEST_F(ProxyAttemptTest, IdempotentRequestIsSentToAnotherServerOnce)
{
    const auto received = start("read");
    sent().observer->onEnd(BackendCallEnd::Broken);
    advance(50);
    ASSERT_EQ(m_backends.m_sent.size(), 2U);
    EXPECT_NE(sent(0).request.server.id, sent(1).request.server.id);
    sent(1).observer->onEnd(BackendCallEnd::Broken);
    advance(50);
    EXPECT_EQ(m_backends.m_sent.size(), 2U);
    EXPECT_EQ(received->refusal, RefusalKind::ResponseLost);
}

TEST_F(ProxyAttemptTest, FailureOfAnIdempotentRequestIsRetriedAndThenPassedOn)
{
    const auto received = start("read");
    answer(0, head(500), "first");
    advance(50);
    ASSERT_EQ(m_backends.m_sent.size(), 2U);
    answer(1, head(500), "second");
    EXPECT_EQ(received->status, 500);
    EXPECT_EQ(received->body, "second");
}

TEST_F(ProxyAttemptTest, RequestThatWasNotRunMayGoElsewhere)
{
    const auto received = start("book");
    answer(0, notExecuted());
    advance(50);
    ASSERT_EQ(m_backends.m_sent.size(), 2U);
    answer(1, head(200), "booked");
    EXPECT_EQ(received->body, "booked");
}

TEST_F(ProxyAttemptTest, NotRunAnywhereIsPromisedOnlyThen)
{
    const auto received = start("book");
    answer(0, notExecuted());
    advance(50);
    answer(1, notExecuted());
    EXPECT_EQ(received->refusal, RefusalKind::NotRun);
}

TEST_F(ProxyAttemptTest, RefusalByTheOnlyServerIsPromisedAsNotRun)
{
    m_servers.remove(framework::BackendServerId("w2"));
    const auto received = start("book");
    answer(0, notExecuted());
    advance(50);
    EXPECT_EQ(received->refusal, RefusalKind::NotRun);
}

TEST_F(ProxyAttemptTest, RefusalBeforeTheTimeIsUpIsPromisedAsNotRun)
{
    const auto received = start("book");
    answer(0, notExecuted());
    m_servers.remove(framework::BackendServerId("w2"));
    advance(801);
    EXPECT_EQ(received->refusal, RefusalKind::NotRun);
}

TEST_F(ProxyAttemptTest, UnavailableWithoutThePromiseBecomesLost)
{
    const auto received = start("book");
    answer(0, head(503), "busy");
    EXPECT_EQ(received->refusal, RefusalKind::ResponseLost);
    EXPECT_EQ(m_backends.m_sent.size(), 1U);
}

TEST_F(ProxyAttemptTest, SuccessWithoutASignatureIsNotPassedOn)
{
    const auto received = start("book");
    ResponseHead unsigned200 = head(200);
    unsigned200.isSigned = false;
    answer(0, unsigned200, "forged");
    EXPECT_EQ(received->refusal, RefusalKind::ResponseLost);
    EXPECT_EQ(received->body, "");
}

TEST_F(ProxyAttemptTest, UnreachableServerCostsNoAttempt)
{
    const auto received = start("book");
    sent().observer->onEnd(BackendCallEnd::NotSent);
    ASSERT_EQ(m_backends.m_sent.size(), 2U);
    answer(1, head(200), "booked");
    EXPECT_EQ(received->body, "booked");
}

TEST_F(ProxyAttemptTest, UnreachableServersAreAnHonestRefusal)
{
    const auto received = start("book");
    sent(0).observer->onEnd(BackendCallEnd::NotSent);
    sent(1).observer->onEnd(BackendCallEnd::NotSent);
    EXPECT_EQ(received->refusal, RefusalKind::NotRun);
}

TEST_F(ProxyAttemptTest, ClientThatLeavesEndsRepeatableWork)
{
    start("read");
    m_service->abandon(m_ticket);
    EXPECT_FALSE(*sent().live);
    EXPECT_EQ(m_service->activeRequests(), 0U);
}

TEST_F(ProxyAttemptTest, ClientThatLeavesDoesNotEndABooking)
{
    start("book");
    m_service->abandon(m_ticket);
    EXPECT_TRUE(*sent().live);
    answer(0, head(200));
    EXPECT_EQ(m_service->activeRequests(), 0U);
}
