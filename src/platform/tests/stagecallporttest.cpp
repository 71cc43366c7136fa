#include "connections/connectionsmodule.h"
#include "connections/iconnectionshares.h"
#include "framework/frameworkmodule.h"
#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "framework/imetrics.h"
#include "framework/itimer.h"
#include "framework/testing/nulllogger.h"
#include "http/httpmodule.h"
#include "http/ihttpclient.h"
#include "http/tests/scriptedserver.h"
#include "membership/ibackendservertracker.h"
#include "membership/membershipmodule.h"
#include "platform/internal/httpstagecallport.h"
#include "serving/testing/fakeservingstate.h"
#include "stages/types/stagecalloutcome.h"
#include "stages/types/startstagecall.h"

#include <gtest/gtest.h>

#include <vector>

using namespace lavendertally;
using namespace lavendertally::platform;

namespace {

constexpr framework::Milliseconds GenerousTimeout{10000};

std::string answer(const std::string &result)
{
    const std::string body = R"({"items":[{"handleId":")" + result + R"("}]})";
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

class StageCallPortTest : public testing::Test
{
protected:
    StageCallPortTest()
        : m_loop(framework::FrameworkModule::makeEventLoop()),
          m_server(*m_loop,
                   [this](http::ScriptedServer::Connection &connection) {
                       http::ScriptedServer::send(connection, m_answers.at(m_calls));
                       ++m_calls;
                   }),
          m_servers(membership::MembershipModule::makeBackendServerTracker(m_logger)),
          m_metrics(framework::FrameworkModule::makeMetrics()),
          m_clock(framework::FrameworkModule::makeSystemClock()),
          m_shares(connections::ConnectionsModule::makeShares(*m_servers, m_serving, *m_loop,
                                                              *m_clock, m_logger, *m_metrics)),
          m_client(http::HttpModule::makeClient(*m_loop, options())),
          m_port(*m_client, *m_servers, *m_shares, m_logger),
          m_guard(m_loop->callAfter(GenerousTimeout, [this] { m_loop->stop(); }))
    { }

    http::HttpClientOptions options()
    {
        http::HttpClientOptions result;
        result.gate = &m_shares->gate();
        return result;
    }
    stages::StageCallOutcome call()
    {
        stages::StartStageCall start;
        start.server.endpoint = m_server.endpoint();
        start.server.id = framework::BackendServerId("i-1");
        start.pieces.resize(1);
        start.timeout = GenerousTimeout;
        stages::StageCallOutcome outcome;
        m_port.startCall(start, [&](const stages::StageCallOutcome &received) {
            outcome = received;
            m_loop->stop();
        });
        m_loop->run();
        return outcome;
    }

    framework::NullLogger m_logger;
    std::unique_ptr<framework::IEventLoop> m_loop;
    /// What the server sends for each call, in order.
    std::vector<std::string> m_answers;
    std::size_t m_calls = 0;
    http::ScriptedServer m_server;
    std::unique_ptr<membership::IBackendServerTracker> m_servers;
    std::unique_ptr<framework::IMetrics> m_metrics;
    std::unique_ptr<framework::IClock> m_clock;
    serving::FakeServingState m_serving;
    std::unique_ptr<connections::IConnectionShares> m_shares;
    std::unique_ptr<http::IHttpClient> m_client;
    HttpStageCallPort m_port;
    std::unique_ptr<framework::ITimer> m_guard;
};

TEST_F(StageCallPortTest, CopyOfEarlierAnswerArrivesDuringNextCall_NoPieceGetsResultsOfOthers)
{
    // The second call finds a late copy of the first answer where its own is due.
    m_answers = {answer("1.2.3.4:5/a"), answer("1.2.3.4:5/a"), answer("1.2.3.4:5/c")};
    EXPECT_EQ(call().pieces.at(0).result.value(), "1.2.3.4:5/a");
    EXPECT_EQ(call().status, stages::StageCallStatus::Unknown);
    EXPECT_EQ(call().pieces.at(0).result.value(), "1.2.3.4:5/c");
    EXPECT_EQ(m_server.connections(), 2U) << "the connection is out of step with its calls";
}

TEST_F(StageCallPortTest, AnswersDiffer_ConnectionIsReused)
{
    m_answers = {answer("1.2.3.4:5/a"), answer("1.2.3.4:5/b")};
    EXPECT_EQ(call().pieces.at(0).result.value(), "1.2.3.4:5/a");
    EXPECT_EQ(call().pieces.at(0).result.value(), "1.2.3.4:5/b");
    EXPECT_EQ(m_server.connections(), 1U);
}

TEST_F(StageCallPortTest, AnswerWithoutResults_ConnectionIsNotReused)
{
    m_answers = {"HTTP/1.1 200 OK\r\nContent-Length: 29\r\n\r\n{\"items\":[{\"reason\":\"room\"}]}",
                 answer("1.2.3.4:5/b")};
    EXPECT_EQ(call().status, stages::StageCallStatus::Answered);
    EXPECT_EQ(call().pieces.at(0).result.value(), "1.2.3.4:5/b");
    EXPECT_EQ(m_server.connections(), 2U);
}

TEST_F(StageCallPortTest, RefusalIsSentOnceMore_NextCallIsNotTakenForRefused)
{
    const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\n"
                                "X-Lavendertally-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    m_answers = {refusal, answer("1.2.3.4:5/b")};
    EXPECT_EQ(call().status, stages::StageCallStatus::NotRun);
    EXPECT_EQ(call().pieces.at(0).result.value(), "1.2.3.4:5/b");
    EXPECT_EQ(m_server.connections(), 2U);
}

// Guards against pieces that are made twice because their call was taken for refused.
TEST_F(StageCallPortTest, StatusIsInvalid_CallMayHaveRun)
{
    m_answers = {"HTTP/1.1 000 Unknown\r\n"
                 "X-Lavendertally-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"};
    EXPECT_EQ(call().status, stages::StageCallStatus::Unknown);
}

TEST_F(StageCallPortTest, ServerSaysThatItLeaves_AdmitsNoMore)
{
    membership::BackendServerEntry entry;
    entry.id = framework::BackendServerId("i-1");
    m_servers->put(entry);
    m_answers = {"HTTP/1.1 503 Busy\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n"};
    call();
    EXPECT_EQ(m_servers->findAdmitting(entry.id), nullptr);
}
