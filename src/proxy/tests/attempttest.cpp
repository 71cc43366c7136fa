#include "proxy/tests/proxyfixture.h"

using namespace lavendertally;
using namespace lavendertally::proxy;

using ProxyAttemptTest = ProxyFixture;

TEST_F(ProxyAttemptTest, CompleteResponse_IsForwardedToClient)
{
    const auto received = start("book");
    respond(0, head(200), "booked");
    EXPECT_EQ(received->status, 200);
    EXPECT_EQ(received->body, "booked");
    EXPECT_EQ(m_service->activeRequests(), 0U);
}

TEST_F(ProxyAttemptTest, BackendServerFailsNonIdempotentRequest_ErrorIsForwarded)
{
    const auto received = start("book");
    respond(0, head(500), "no");
    EXPECT_EQ(received->status, 500);
    EXPECT_EQ(m_backends.m_sent.size(), 1U);
}

TEST_F(ProxyAttemptTest, NonIdempotentRequestMayHaveRun_IsNotRetried)
{
    const auto received = start("book");
    sent().observer->onEnd(BackendCallEnd::Broken);
    advance(500);
    EXPECT_EQ(m_backends.m_sent.size(), 1U);
    EXPECT_EQ(received->refusal, RefusalKind::ResponseLost);
}

TEST_F(ProxyAttemptTest, NoResponseByDeadline_RequestIsRefusedAsTimedOutAndCancelled)
{
    const auto received = start("book");
    advance(801);
    EXPECT_EQ(received->refusal, RefusalKind::TimedOut);
    EXPECT_FALSE(*sent().live);
}

TEST_F(ProxyAttemptTest, IdempotentRequestBreaks_IsRetriedOnceAtAnotherBackendServer)
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

TEST_F(ProxyAttemptTest, BodyNeverEnds_CallIsCancelledAndResponseCountsAsLost)
{
    const auto received = start("book");
    sent().observer->onHead(head(200));
    const std::string piece(1024 * 1024, 'a');
    constexpr int Pieces = 64;
    int piecesRead = 0;
    while (piecesRead < Pieces && *sent().live) {
        sent().observer->onBody(piece);
        ++piecesRead;
    }
    EXPECT_LT(piecesRead, Pieces);
    EXPECT_TRUE(received->aborted);
    EXPECT_FALSE(received->ended);
}

// Guards against large bodies that are kept in memory until they are whole.
TEST_F(ProxyAttemptTest, LargeBody_IsPassedOnInPartsAndHeldBackForTheClient)
{
    const auto received = start("book");
    IBackendResponseObserver &observer = *sent().observer;
    observer.onHead(head(200));
    const std::string part(100 * 1024, 'a');
    observer.onBody(part);
    EXPECT_EQ(received->body, part);
    EXPECT_FALSE(*sent().paused);
    received->isBehind = true;
    observer.onBody(part);
    EXPECT_TRUE(*sent().paused);
    received->caughtUp();
    EXPECT_FALSE(*sent().paused);
    observer.onEnd(BackendCallEnd::Complete);
    EXPECT_EQ(received->body, part + part);
    EXPECT_TRUE(received->ended);
    EXPECT_EQ(m_service->activeRequests(), 0U);
}

TEST_F(ProxyAttemptTest, LargeBodyBreaksOff_ClientSeesBrokenAnswer)
{
    const auto received = start("read");
    sent().observer->onHead(head(200));
    sent().observer->onBody(std::string(100 * 1024, 'a'));
    sent().observer->onEnd(BackendCallEnd::Broken);
    advance(100);
    EXPECT_TRUE(received->aborted);
    EXPECT_FALSE(received->ended);
    EXPECT_EQ(m_backends.m_sent.size(), 1U);
}

TEST_F(ProxyAttemptTest, LargeBodyOfAFailure_CountsAsLostAndIsRetried)
{
    const auto received = start("read");
    sent().observer->onHead(head(500));
    sent().observer->onBody(std::string(100 * 1024, 'a'));
    EXPECT_FALSE(*sent().live);
    advance(50);
    ASSERT_EQ(m_backends.m_sent.size(), 2U);
    respond(1, head(200), "second");
    EXPECT_EQ(received->body, "second");
}

TEST_F(ProxyAttemptTest, IdempotentRequestFailsTwice_SecondErrorIsForwarded)
{
    const auto received = start("read");
    respond(0, head(500), "first");
    advance(50);
    ASSERT_EQ(m_backends.m_sent.size(), 2U);
    respond(1, head(500), "second");
    EXPECT_EQ(received->status, 500);
    EXPECT_EQ(received->body, "second");
}

TEST_F(ProxyAttemptTest, NonIdempotentRequestWasNotRun_IsRetriedElsewhere)
{
    const auto received = start("book");
    respond(0, notExecuted());
    advance(50);
    ASSERT_EQ(m_backends.m_sent.size(), 2U);
    respond(1, head(200), "booked");
    EXPECT_EQ(received->body, "booked");
}

TEST_F(ProxyAttemptTest, AllBackendServersRefuse_RequestIsRefusedAsNotRun)
{
    const auto received = start("book");
    respond(0, notExecuted());
    advance(50);
    respond(1, notExecuted());
    EXPECT_EQ(received->refusal, RefusalKind::NotRun);
}

TEST_F(ProxyAttemptTest, OnlyBackendServerRefuses_RequestIsRefusedAsNotRun)
{
    m_servers.remove(framework::BackendServerId("w2"));
    const auto received = start("book");
    respond(0, notExecuted());
    advance(50);
    EXPECT_EQ(received->refusal, RefusalKind::NotRun);
}

TEST_F(ProxyAttemptTest, LastServerLeavesDuringBackoff_RequestIsRefusedAsNotRun)
{
    const auto received = start("book");
    respond(0, notExecuted());
    m_servers.remove(framework::BackendServerId("w2"));
    advance(801);
    EXPECT_EQ(received->refusal, RefusalKind::NotRun);
}

TEST_F(ProxyAttemptTest, Status503WithoutNotExecutedHeader_RequestIsRefusedAsResponseLost)
{
    const auto received = start("book");
    respond(0, head(503), "busy");
    EXPECT_EQ(received->refusal, RefusalKind::ResponseLost);
    EXPECT_EQ(m_backends.m_sent.size(), 1U);
}

TEST_F(ProxyAttemptTest, SuccessWithoutSignature_IsNotForwarded)
{
    const auto received = start("book");
    ResponseHead unsigned200 = head(200);
    unsigned200.isSigned = false;
    respond(0, unsigned200, "forged");
    EXPECT_EQ(received->refusal, RefusalKind::ResponseLost);
    EXPECT_EQ(received->body, "");
}

TEST_F(ProxyAttemptTest, BackendServerUnreachable_NextOneIsTriedAtOnce)
{
    const auto received = start("book");
    sent().observer->onEnd(BackendCallEnd::NotSent);
    ASSERT_EQ(m_backends.m_sent.size(), 2U);
    respond(1, head(200), "booked");
    EXPECT_EQ(received->body, "booked");
}

TEST_F(ProxyAttemptTest, AllBackendServersUnreachable_RequestIsRefusedAsNotRun)
{
    const auto received = start("book");
    sent(0).observer->onEnd(BackendCallEnd::NotSent);
    sent(1).observer->onEnd(BackendCallEnd::NotSent);
    EXPECT_EQ(received->refusal, RefusalKind::NotRun);
}

// Guards against requests that reached no backend server being answered as unknown (504), so that
// clients could not repeat those that must not run twice.
TEST_F(ProxyAttemptTest, NothingWrittenByDeadline_RequestIsRefusedAsNotRun)
{
    const auto received = start("book");
    *sent().hasSent = false;
    advance(801);
    EXPECT_EQ(received->refusal, RefusalKind::NotRun);
    EXPECT_FALSE(*sent().live);
}

// Guards against the same at the end of the process.
TEST_F(ProxyAttemptTest, NothingWrittenByShutdown_RequestIsRefusedAsNotRun)
{
    const auto received = start("book");
    *sent().hasSent = false;
    m_service->endAll();
    EXPECT_EQ(received->refusal, RefusalKind::NotRun);
}

// Guards against the same for a request that waits between two attempts that were not run.
TEST_F(ProxyAttemptTest, ShutdownBetweenAttemptsThatWereNotRun_RequestIsRefusedAsNotRun)
{
    const auto received = start("book");
    respond(0, notExecuted());
    m_service->endAll();
    EXPECT_EQ(received->refusal, RefusalKind::NotRun);
}

// Guards against the same for a request that waits for its stages.
TEST_F(ProxyAttemptTest, TimeEndsInStages_RequestIsRefusedAsNotRun)
{
    ClientRequest staged = request("staged");
    staged.pieces = {1};
    const auto received = start(staged);
    advance(801);
    EXPECT_EQ(received->refusal, RefusalKind::NotRun);
}

// Guards against a promise that is not kept: the first attempt may have run.
TEST_F(ProxyAttemptTest, AttemptThatMayHaveRunIsFollowedByRefusal_RequestIsNotRefusedAsNotRun)
{
    const auto received = start("read");
    sent().observer->onEnd(BackendCallEnd::Broken);
    advance(50);
    respond(1, notExecuted());
    EXPECT_EQ(received->refusal, RefusalKind::ResponseLost);
}

// Guards against the same if no other backend server can be reached.
TEST_F(ProxyAttemptTest, AttemptThatMayHaveRunIsFollowedByFailedConnection_IsNotRefusedAsNotRun)
{
    const auto received = start("read");
    sent().observer->onEnd(BackendCallEnd::Broken);
    advance(50);
    sent(1).observer->onEnd(BackendCallEnd::NotSent);
    EXPECT_EQ(received->refusal, RefusalKind::ResponseLost);
}

TEST_F(ProxyAttemptTest, ClientDisconnects_IdempotentCallIsCancelled)
{
    start("read");
    m_service->abandon(m_ticket);
    EXPECT_FALSE(*sent().live);
    EXPECT_EQ(m_service->activeRequests(), 0U);
}

TEST_F(ProxyAttemptTest, ClientDisconnects_NonIdempotentCallFinishes)
{
    start("book");
    m_service->abandon(m_ticket);
    EXPECT_TRUE(*sent().live);
    respond(0, head(200));
    EXPECT_EQ(m_service->activeRequests(), 0U);
}

TEST_F(ProxyAttemptTest, AllServersLimitTheirRequests_RequestWaitsForPermitThenIsRefused)
{
    for (const char *server : {"w1", "w2"}) {
        m_selector->observeRateLimit(framework::BackendServerId(server),
                                     framework::RequestRate(500), m_clock.now(), m_clock.now());
    }
    const auto received = start("book");
    advance(250);
    EXPECT_FALSE(received->refusal);
    EXPECT_TRUE(m_backends.m_sent.empty());
    advance(100);
    EXPECT_EQ(received->refusal, RefusalKind::NotRun);
    EXPECT_EQ(received->retryAfter, framework::Milliseconds(1000));
}

TEST_F(ProxyAttemptTest, PermitArrivesWhileRequestWaits_RequestIsSent)
{
    ResponseHead limited = head(200);
    limited.rateLimit = framework::RequestRate(500);
    for (const char *server : {"w1", "w2"}) {
        m_selector->observeRateLimit(framework::BackendServerId(server), limited.rateLimit,
                                     m_clock.now(), m_clock.now());
    }
    const auto received = start("book");
    advance(100);
    m_rateLimits.store().addPermits({{framework::BackendServerId("w2"), 1}}, m_clock.now());
    advance(60);
    ASSERT_EQ(m_backends.m_sent.size(), 1U);
    EXPECT_EQ(sent().request.server.id.value(), "w2");
    respond(0, limited, "booked");
    EXPECT_EQ(received->body, "booked");
}

TEST_F(ProxyAttemptTest, ServerNamesRateLimit_RetryNeedsPermitToo)
{
    ResponseHead refused = notExecuted();
    refused.rateLimit = framework::RequestRate(500);
    const auto received = start("read");
    respond(0, refused);
    advance(50);
    ASSERT_EQ(m_backends.m_sent.size(), 2U);
    respond(1, refused);
    advance(50);
    EXPECT_EQ(received->refusal, RefusalKind::NotRun);
    const auto second = start("read");
    advance(200);
    EXPECT_EQ(m_backends.m_sent.size(), 2U);
}

TEST_F(ProxyAttemptTest, ServersTurnAwayWithRetryAfter_NothingIsSentUntilThen)
{
    ResponseHead refused = notExecuted();
    refused.retryAfter = framework::Milliseconds(3000);
    start("read");
    respond(0, refused);
    advance(50);
    ASSERT_EQ(m_backends.m_sent.size(), 2U);
    refused.retryAfter = framework::Milliseconds(2000);
    respond(1, refused);
    advance(500);
    for (int request = 0; request < 3; ++request) {
        const auto received = start("read");
        EXPECT_EQ(received->refusal, RefusalKind::NotRun);
        EXPECT_EQ(received->retryAfter, framework::Milliseconds(1500));
    }
    EXPECT_EQ(m_backends.m_sent.size(), 2U);
    advance(1500);
    m_serving.confirm(m_clock.now());
    start("read");
    ASSERT_EQ(m_backends.m_sent.size(), 3U);
    EXPECT_EQ(sent(2).request.server.id, sent(1).request.server.id);
}

TEST_F(ProxyAttemptTest, ServersThatLimitTheirRequestsWantNoneForNow_RequestIsRefusedAtOnce)
{
    for (const char *server : {"w1", "w2"}) {
        const framework::BackendServerId id(server);
        m_selector->observeRateLimit(id, framework::RequestRate(500), m_clock.now(), m_clock.now());
        m_selector->observePause(id, m_clock.now() + framework::Milliseconds(4000));
    }
    const auto received = start("read");
    EXPECT_EQ(received->refusal, RefusalKind::NotRun);
    EXPECT_EQ(received->retryAfter, framework::Milliseconds(4000));
}
