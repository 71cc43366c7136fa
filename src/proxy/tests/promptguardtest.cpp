#include "proxy/tests/proxyfixture.h"

using namespace lavendertally;
using namespace lavendertally::proxy;
using framework::PromptPartId;

namespace {

class PromptGuardTest : public ProxyFixture
{
protected:
    static constexpr PromptPartId Common{1};
    static constexpr PromptPartId Deadly{2};
    static constexpr PromptPartId Rare{3};

    std::shared_ptr<ReceivedResponse> startPrompt(const std::vector<PromptPartId> &parts,
                                                  const char *route = "read")
    {
        ClientRequest prompt = request(route);
        prompt.sharedPromptParts = parts;
        return start(std::move(prompt));
    }
    /// Starts a request whose backend server crashes before the answer begins.
    std::shared_ptr<ReceivedResponse> startDeadly(const std::vector<PromptPartId> &parts)
    {
        auto received = startPrompt(parts);
        const std::size_t attempt = m_backends.m_sent.size() - 1;
        advance(20);
        sent(attempt).observer->onEnd(BackendCallEnd::Broken);
        m_backends.endProbe(http::ProbeResult::NotListening);
        advance(400);
        // The next crash is one of another process.
        addServer(("next" + std::to_string(attempt)).c_str());
        return received;
    }
};

} // namespace

TEST_F(PromptGuardTest, ServerCrashesOnUnknownPart_RequestIsNotSentToSecondServer)
{
    const auto received = startDeadly({Deadly});
    EXPECT_EQ(m_backends.m_sent.size(), 1U);
    EXPECT_EQ(received->refusal, RefusalKind::ResponseLost);
}

TEST_F(PromptGuardTest, ServerStillListensAfterALoss_RequestIsRepeatedAtOnce)
{
    startPrompt({Rare});
    sent().observer->onEnd(BackendCallEnd::Broken);
    m_backends.endProbe(http::ProbeResult::Listening);
    advance(50);
    EXPECT_EQ(m_backends.m_sent.size(), 2U);
}

TEST_F(PromptGuardTest, ServerDoesNotAnswerTheProbe_NothingIsSuspected)
{
    startPrompt({Rare});
    sent().observer->onEnd(BackendCallEnd::Broken);
    m_backends.endProbe(http::ProbeResult::Silent);
    advance(50);
    EXPECT_EQ(m_backends.m_sent.size(), 2U);
}

TEST_F(PromptGuardTest, AnswersWithThePartHadBegun_RequestIsRepeatedAfterACrash)
{
    startPrompt({Common});
    respond(0, head(200));
    advance(100);
    startPrompt({Common});
    sent(1).observer->onEnd(BackendCallEnd::Broken);
    m_backends.endProbe(http::ProbeResult::NotListening);
    advance(50);
    EXPECT_EQ(m_backends.m_sent.size(), 3U);
}

TEST_F(PromptGuardTest, PartIsBlamed_RequestIsRefusedAtOnceAsNotRun)
{
    startDeadly({Deadly});
    startDeadly({Deadly});
    const std::size_t before = m_backends.m_sent.size();
    const auto refused = startPrompt({Common, Deadly});
    EXPECT_EQ(refused->refusal, RefusalKind::NotRun);
    EXPECT_GT(refused->retryAfter, framework::Milliseconds(5000));
    EXPECT_EQ(m_backends.m_sent.size(), before);
    startPrompt({Common});
    EXPECT_EQ(m_backends.m_sent.size(), before + 1) << "sound parts go on";
}

TEST_F(PromptGuardTest, SuspectedPartIsBeingTried_OthersWithItAreRefusedUntilItsAnswerBegins)
{
    startDeadly({Rare});
    startPrompt({Rare}, "stream");
    const std::size_t trial = m_backends.m_sent.size() - 1;
    EXPECT_EQ(startPrompt({Rare})->refusal, RefusalKind::NotRun);
    sent(trial).observer->onHead(head(200, true));
    event(trial, 1);
    event(trial, 2);
    startPrompt({Rare});
    EXPECT_EQ(m_backends.m_sent.size(), trial + 2);
}

TEST_F(PromptGuardTest, RequestEndsDuringItsTrial_PartCanBeTriedAgain)
{
    startDeadly({Rare});
    startPrompt({Rare});
    m_service->abandon(m_ticket);
    const std::size_t before = m_backends.m_sent.size();
    startPrompt({Rare});
    EXPECT_EQ(m_backends.m_sent.size(), before + 1);
}

TEST_F(PromptGuardTest, ClientLeavesWhileTheLossIsExamined_NothingIsSentAfterwards)
{
    startPrompt({Rare});
    sent().observer->onEnd(BackendCallEnd::Broken);
    m_service->abandon(m_ticket);
    advance(1000);
    EXPECT_EQ(m_backends.m_sent.size(), 1U);
    EXPECT_EQ(m_service->activeRequests(), 0U);
}

TEST_F(PromptGuardTest, OtherDaemonExplainsTheCrash_RequestIsRepeated)
{
    const auto received = startPrompt({Rare});
    sent().observer->onEnd(BackendCallEnd::Broken);
    m_backends.endProbe(http::ProbeResult::NotListening);
    advance(60);
    EXPECT_EQ(m_backends.m_sent.size(), 1U);
    m_quarantine->answerBegan({Rare}, m_clock.now());
    advance(150);
    EXPECT_EQ(m_backends.m_sent.size(), 2U);
    EXPECT_FALSE(received->refusal);
}

TEST_F(PromptGuardTest, BackendServerRejectsRequestWithDeadlyPart_ItDoesNotVouchForThePart)
{
    startDeadly({Deadly});
    startPrompt({Deadly});
    respond(m_backends.m_sent.size() - 1, head(400));
    startDeadly({Deadly});
    const std::size_t before = m_backends.m_sent.size();
    EXPECT_EQ(startPrompt({Deadly})->refusal, RefusalKind::NotRun);
    EXPECT_EQ(m_backends.m_sent.size(), before);
}

TEST_F(PromptGuardTest, LeavingServerCrashesBeforeTheFirstEvent_ItDoesNotVouchForThePart)
{
    startDeadly({Deadly});
    startPrompt({Deadly}, "stream");
    const std::size_t trial = m_backends.m_sent.size() - 1;
    ResponseHead unframed = head(200, true);
    unframed.endsWithConnection = true;
    sent(trial).observer->onHead(unframed);
    m_servers.remove(sent(trial).request.server.id);
    sent(trial).observer->onEnd(BackendCallEnd::Complete);
    EXPECT_NE(m_quarantine->assess({Deadly}, m_clock.now()).standing,
              quarantine::PartStanding::Clear);
}
