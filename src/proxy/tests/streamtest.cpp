#include "proxy/tests/proxyfixture.h"

using namespace lavendertally;
using namespace lavendertally::proxy;

using ProxyStreamTest = ProxyFixture;

namespace {

/// Answers that have neither a length nor chunks.
class UnframedAnswerTest : public ProxyFixture
{
protected:
    void endWithConnection(bool isStream)
    {
        ResponseHead unframed = head(200, isStream);
        unframed.endsWithConnection = true;
        sent().observer->onHead(unframed);
        if (isStream) {
            event(0, 1);
            event(0, 2);
        } else {
            sent().observer->onBody("who");
        }
        sent().observer->onEnd(BackendCallEnd::Complete);
    }
};

} // namespace

TEST_F(ProxyStreamTest, EventsArrive_EachIsForwardedAtOnce)
{
    const auto received = start("stream");
    sent().observer->onHead(head(200, true));
    EXPECT_EQ(received->status, 0);
    event(0, 1);
    event(0, 2);
    EXPECT_EQ(received->body, "1;2;");
    EXPECT_FALSE(received->ended);
    sent().observer->onEnd(BackendCallEnd::Complete);
    EXPECT_TRUE(received->ended);
}

TEST_F(ProxyStreamTest, StreamBreaks_ClientConnectionIsAborted)
{
    const auto received = start("stream");
    sent().observer->onHead(head(200, true));
    event(0, 1);
    sent().observer->onEnd(BackendCallEnd::Broken);
    EXPECT_TRUE(received->aborted);
    EXPECT_FALSE(received->ended);
    EXPECT_EQ(m_backends.m_sent.size(), 1U);
}

TEST_F(ProxyStreamTest, StreamBreaksBeforeFirstEvent_RequestIsRefusedAsResponseLost)
{
    const auto received = start("stream");
    sent().observer->onHead(head(200, true));
    sent().observer->onEnd(BackendCallEnd::Broken);
    EXPECT_EQ(received->refusal, RefusalKind::ResponseLost);
}

TEST_F(ProxyStreamTest, ResumableStreamBreaks_ContinuesElsewhereInSameResponse)
{
    const auto received = start("resumable");
    sent().observer->onHead(head(200, true));
    event(0, 1);
    event(0, 2);
    sent().observer->onEnd(BackendCallEnd::Broken);
    advance(50);
    ASSERT_EQ(m_backends.m_sent.size(), 2U);
    EXPECT_EQ(sent(1).request.resumeAfter, framework::StreamEventId(2));
    sent(1).observer->onHead(head(200, true));
    event(1, 2);
    event(1, 3);
    sent(1).observer->onEnd(BackendCallEnd::Complete);
    EXPECT_EQ(received->body, "1;2;3;");
    EXPECT_TRUE(received->ended);
    EXPECT_FALSE(received->aborted);
}

TEST_F(ProxyStreamTest, ResumedStreamBreaksBeforeItsHead_StreamIsAborted)
{
    const auto received = start("resumable");
    sent().observer->onHead(head(200, true));
    event(0, 1);
    sent().observer->onEnd(BackendCallEnd::Broken);
    advance(50);
    ASSERT_EQ(m_backends.m_sent.size(), 2U);
    sent(1).observer->onEnd(BackendCallEnd::Broken);
    EXPECT_EQ(m_service->activeRequests(), 0U);
    EXPECT_TRUE(received->aborted);
    EXPECT_FALSE(received->refusal);
}

TEST_F(ProxyStreamTest, ResumedStreamIsAnsweredWithAnError_StreamIsAborted)
{
    const auto received = start("resumable");
    sent().observer->onHead(head(200, true));
    event(0, 1);
    sent().observer->onEnd(BackendCallEnd::Broken);
    advance(50);
    ASSERT_EQ(m_backends.m_sent.size(), 2U);
    sent(1).observer->onHead(head(500, false));
    sent(1).observer->onEnd(BackendCallEnd::Complete);
    EXPECT_EQ(m_service->activeRequests(), 0U);
    EXPECT_TRUE(received->aborted);
    EXPECT_EQ(received->body, "1;");
}

TEST_F(ProxyStreamTest, EventIdsHaveGap_StreamIsAborted)
{
    const auto received = start("stream");
    sent().observer->onHead(head(200, true));
    event(0, 1);
    event(0, 3);
    EXPECT_EQ(received->body, "1;");
    EXPECT_TRUE(received->aborted);
}

TEST_F(ProxyStreamTest, ClientResumesStream_LastEventIdIsPassedToBackendServer)
{
    ClientRequest resumed = request("resumable");
    resumed.lastEventId = framework::StreamEventId(7);
    const auto received = start(resumed);
    EXPECT_EQ(sent().request.resumeAfter, framework::StreamEventId(7));
    sent().observer->onHead(head(200, true));
    event(0, 8);
    EXPECT_EQ(received->body, "8;");
}

TEST_F(ProxyStreamTest, DeadlinePassesDuringStream_StreamIsAbortedAndCallCancelled)
{
    const auto received = start("stream");
    sent().observer->onHead(head(200, true));
    event(0, 1);
    advance(801);
    EXPECT_TRUE(received->aborted);
    EXPECT_FALSE(*sent().live);
}

TEST_F(ProxyStreamTest, RequestHasStages_ResultsArePassedOnAndReleasedAtFirstEvent)
{
    ClientRequest staged = request("staged");
    staged.pieces = {2};
    staged.stageInput = framework::StageInputId("in");
    const auto received = start(staged);
    EXPECT_TRUE(m_backends.m_sent.empty());
    ASSERT_EQ(m_stages.m_jobs.size(), 1U);
    EXPECT_EQ(m_stages.m_jobs[0].stages[0].pieces, 2U);
    EXPECT_EQ(m_stages.m_jobs[0].input.value(), "in");
    m_stages.end("r1", protocol::StageJobStatus::Done);
    ASSERT_EQ(m_backends.m_sent.size(), 1U);
    ASSERT_TRUE(sent().request.inputs.has_value());
    EXPECT_EQ(sent().request.inputs->front().value(), "1.2.3.4:5/x");
    sent().observer->onHead(head(200, true));
    EXPECT_TRUE(m_stages.m_released.empty());
    event(0, 1);
    EXPECT_EQ(m_stages.m_released.size(), 1U);
    sent().observer->onEnd(BackendCallEnd::Complete);
    EXPECT_TRUE(received->ended);
}

TEST_F(ProxyStreamTest, RequestHasNoPieces_NoStagesAreRun)
{
    ClientRequest staged = request("staged");
    staged.pieces = {0};
    start(staged);
    EXPECT_TRUE(m_stages.m_jobs.empty());
    ASSERT_EQ(m_backends.m_sent.size(), 1U);
    EXPECT_FALSE(sent().request.inputs.has_value());
}

TEST_F(ProxyStreamTest, StagesOverloaded_RequestIsRefusedAsNotRun)
{
    ClientRequest staged = request("staged");
    staged.pieces = {1};
    const auto received = start(staged);
    m_stages.end("r1", protocol::StageJobStatus::Overloaded);
    EXPECT_EQ(received->refusal, RefusalKind::NotRun);
}

TEST_F(ProxyStreamTest, ClientDisconnectsDuringStages_JobIsCancelled)
{
    ClientRequest staged = request("staged");
    staged.pieces = {1};
    start(staged);
    m_service->abandon(m_ticket);
    ASSERT_EQ(m_stages.m_cancelled.size(), 1U);
    EXPECT_EQ(m_service->activeRequests(), 0U);
}

TEST_F(ProxyStreamTest, StreamWithStagesResumes_StagesRunAgain)
{
    ClientRequest staged = request("stagedresumable");
    staged.pieces = {1};
    const auto received = start(staged);
    m_stages.end("r1", protocol::StageJobStatus::Done);
    sent().observer->onHead(head(200, true));
    event(0, 1);
    sent().observer->onEnd(BackendCallEnd::Broken);
    advance(50);
    ASSERT_EQ(m_stages.m_jobs.size(), 2U);
    m_stages.end("r1", protocol::StageJobStatus::Done);
    ASSERT_EQ(m_backends.m_sent.size(), 2U);
    EXPECT_TRUE(sent(1).request.inputs.has_value());
    sent(1).observer->onHead(head(200, true));
    event(1, 2);
    sent(1).observer->onEnd(BackendCallEnd::Complete);
    EXPECT_EQ(received->body, "1;2;");
    EXPECT_TRUE(received->ended);
}

TEST_F(ProxyStreamTest, StageResultsLost_StagesAreRerunOnce)
{
    ClientRequest staged = request("staged");
    staged.pieces = {1};
    const auto received = start(staged);
    m_stages.end("r1", protocol::StageJobStatus::Done);
    ResponseHead gone = notExecuted();
    gone.status = 409;
    respond(0, gone);
    ASSERT_EQ(m_stages.m_jobs.size(), 2U);
    m_stages.end("r1", protocol::StageJobStatus::Done);
    ASSERT_EQ(m_backends.m_sent.size(), 2U);
    EXPECT_FALSE(sent(0).request.needsNewConnection);
    EXPECT_TRUE(sent(1).request.needsNewConnection) << "a copy of the first answer has the same id";
    respond(1, gone);
    EXPECT_EQ(m_stages.m_jobs.size(), 2U);
    EXPECT_EQ(received->refusal, RefusalKind::NotRun);
}

TEST_F(UnframedAnswerTest, ServerStillListens_StreamIsComplete)
{
    const auto received = start("resumable");
    endWithConnection(true);
    ASSERT_FALSE(received->ended);
    m_backends.endProbe(http::ProbeResult::Listening);
    EXPECT_TRUE(received->ended);
    EXPECT_EQ(received->body, "1;2;");
    EXPECT_EQ(m_service->activeRequests(), 0U);
}

TEST_F(UnframedAnswerTest, ServerHasCrashed_StreamIsAborted)
{
    const auto received = start("stream");
    endWithConnection(true);
    ASSERT_FALSE(received->ended);
    m_backends.endProbe(http::ProbeResult::NotListening);
    EXPECT_TRUE(received->aborted);
    EXPECT_FALSE(received->ended);
}

TEST_F(UnframedAnswerTest, ServerHasCrashed_ResumableStreamContinuesElsewhere)
{
    const auto received = start("resumable");
    endWithConnection(true);
    ASSERT_FALSE(received->ended);
    m_backends.endProbe(http::ProbeResult::NotListening);
    advance(50);
    ASSERT_EQ(m_backends.m_sent.size(), 2U);
    EXPECT_NE(sent(1).request.server.id, sent(0).request.server.id);
    EXPECT_EQ(sent(1).request.resumeAfter, framework::StreamEventId(2));
    sent(1).observer->onHead(head(200, true));
    event(1, 3);
    sent(1).observer->onEnd(BackendCallEnd::Complete);
    EXPECT_EQ(received->body, "1;2;3;");
    EXPECT_TRUE(received->ended);
}

TEST_F(UnframedAnswerTest, ServerIsSilent_StreamIsAborted)
{
    const auto received = start("stream");
    endWithConnection(true);
    ASSERT_FALSE(received->ended);
    m_backends.endProbe(http::ProbeResult::Silent);
    EXPECT_TRUE(received->aborted);
}

TEST_F(UnframedAnswerTest, ServerIsNoLongerRegistered_StreamIsCompleteAtOnce)
{
    const auto received = start("stream");
    m_servers.remove(sent().request.server.id);
    endWithConnection(true);
    EXPECT_TRUE(received->ended);
    EXPECT_TRUE(m_backends.m_probes.empty());
}

TEST_F(UnframedAnswerTest, ServerIsRemovedDuringProbe_StreamIsComplete)
{
    const auto received = start("stream");
    endWithConnection(true);
    ASSERT_FALSE(received->ended);
    m_servers.remove(sent().request.server.id);
    m_backends.endProbe(http::ProbeResult::NotListening);
    EXPECT_TRUE(received->ended);
}

TEST_F(UnframedAnswerTest, TimeIsUpDuringProbe_StreamIsAborted)
{
    const auto received = start("stream");
    endWithConnection(true);
    ASSERT_FALSE(received->ended);
    advance(801);
    EXPECT_TRUE(received->aborted);
    EXPECT_FALSE(received->ended);
    EXPECT_EQ(m_service->activeRequests(), 0U);
}

TEST_F(UnframedAnswerTest, FramedStream_NeedsNoProbe)
{
    const auto received = start("stream");
    sent().observer->onHead(head(200, true));
    event(0, 1);
    sent().observer->onEnd(BackendCallEnd::Complete);
    EXPECT_TRUE(received->ended);
    EXPECT_TRUE(m_backends.m_probes.empty());
}

TEST_F(UnframedAnswerTest, ServerHasCrashed_BodyOfBookingIsLost)
{
    const auto received = start("book");
    endWithConnection(false);
    ASSERT_FALSE(received->ended);
    m_backends.endProbe(http::ProbeResult::NotListening);
    EXPECT_EQ(received->refusal, RefusalKind::ResponseLost);
    EXPECT_EQ(m_backends.m_sent.size(), 1U);
}

TEST_F(UnframedAnswerTest, ServerHasCrashed_IdempotentRequestIsRepeatedElsewhere)
{
    const auto received = start("read");
    endWithConnection(false);
    ASSERT_FALSE(received->ended);
    m_backends.endProbe(http::ProbeResult::NotListening);
    advance(50);
    ASSERT_EQ(m_backends.m_sent.size(), 2U);
    respond(1, head(200), "whole");
    EXPECT_EQ(received->body, "whole");
}

TEST_F(UnframedAnswerTest, ClientDisconnectsDuringProbe_RequestEnds)
{
    start("stream");
    endWithConnection(true);
    m_service->abandon(m_ticket);
    EXPECT_EQ(m_service->activeRequests(), 0U);
}

TEST_F(UnframedAnswerTest, ClientDisconnectsDuringProbeOfBooking_ResultIsAwaited)
{
    start("book");
    endWithConnection(false);
    m_service->abandon(m_ticket);
    EXPECT_EQ(m_service->activeRequests(), 1U);
    m_backends.endProbe(http::ProbeResult::Listening);
    EXPECT_EQ(m_service->activeRequests(), 0U);
}

/// What answers a stream that goes on at a second server: an error, or no part of this stream.
class ContinuationTest : public ProxyFixture, public testing::WithParamInterface<int>
{
protected:
    void answerContinuation()
    {
        ResponseHead answer = head(GetParam() == 0 ? 500 : 200, true);
        switch (GetParam()) {
        case 1:
            answer = head(500);
            break;
        case 2:
            answer = head(200);
            break;
        case 3:
            answer.isSigned = false;
            break;
        case 4:
            answer = notExecuted();
            break;
        case 5:
            answer = head(429);
            break;
        case 6:
            answer = head(502, true);
            answer.endsWithConnection = true;
            break;
        default:
            break;
        }
        IBackendResponseObserver &observer = *sent(1).observer;
        observer.onHead(answer);
        if (answer.isEventStream) {
            StreamEvent error;
            error.id = framework::StreamEventId(2);
            error.text = "error";
            observer.onEvent(error);
            error.id.reset();
            observer.onEvent(error);
        } else {
            observer.onBody("error");
        }
        observer.onEnd(BackendCallEnd::Complete);
        if (!m_backends.m_probes.empty()) {
            m_backends.endProbe(http::ProbeResult::Listening);
        }
    }
};

INSTANTIATE_TEST_SUITE_P(Answers, ContinuationTest, testing::Range(0, 7));

TEST_P(ContinuationTest, StreamThatHasBegunIsAnsweredOtherwiseElsewhere_ClientSeesNoneOfItAndNoEnd)
{
    const auto received = start("resumable");
    sent().observer->onHead(head(200, true));
    event(0, 1);
    sent().observer->onEnd(BackendCallEnd::Broken);
    advance(50);
    ASSERT_EQ(m_backends.m_sent.size(), 2U);
    answerContinuation();
    advance(800);
    EXPECT_EQ(received->body, "1;");
    EXPECT_FALSE(received->ended);
    EXPECT_TRUE(received->aborted);
    EXPECT_FALSE(received->refusal);
}

// Guards against a source that goes on sending while the client does not read.
TEST_F(ProxyStreamTest, ClientIsBehind_ServerIsHeldBackUntilItHasCaughtUp)
{
    const auto received = start("stream");
    sent().observer->onHead(head(200, true));
    event(0, 1);
    EXPECT_FALSE(*sent().paused);
    received->isBehind = true;
    event(0, 2);
    EXPECT_TRUE(*sent().paused);
    received->isBehind = false;
    received->caughtUp();
    EXPECT_FALSE(*sent().paused);
    event(0, 3);
    sent().observer->onEnd(BackendCallEnd::Complete);
    EXPECT_EQ(received->body, "1;2;3;");
    EXPECT_TRUE(received->ended);
}

// Guards against blame for a server whose time has run out while it was held back.
TEST_F(ProxyStreamTest, TimeRunsOutWhileServerIsHeldBack_ServerIsNotBlamed)
{
    const auto received = start("stream");
    const auto server = sent().request.server.id;
    sent().observer->onHead(head(200, true));
    event(0, 1);
    received->isBehind = true;
    event(0, 2);
    sent().observer->onEnd(BackendCallEnd::Broken);
    EXPECT_TRUE(received->aborted);
    EXPECT_TRUE(m_selector->isReady(server));
    bool isUsed = false;
    constexpr int Requests = 20;
    for (int each = 0; each < Requests; ++each) {
        start("open");
        isUsed = isUsed || m_backends.m_sent.back().request.server.id == server;
    }
    EXPECT_TRUE(isUsed);
}

// Guards against an answer without a length that is taken for whole although its server crashed
// while it was held back.
TEST_F(ProxyStreamTest, ServerClosesWhileHeldBack_ItIsProbedAtOnce)
{
    const auto received = start("stream");
    ResponseHead unframed = head(200, true);
    unframed.endsWithConnection = true;
    sent().observer->onHead(unframed);
    received->isBehind = true;
    event(0, 1);
    sent().observer->onServerClosing();
    ASSERT_EQ(m_backends.m_probes.size(), 1U);
    m_backends.endProbe(http::ProbeResult::NotListening);
    received->caughtUp();
    event(0, 2);
    sent().observer->onEnd(BackendCallEnd::Complete);
    EXPECT_TRUE(received->aborted);
    EXPECT_FALSE(received->ended);
}
