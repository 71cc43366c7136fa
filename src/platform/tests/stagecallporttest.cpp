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

#include <functional>
#include <ostream>
#include <string>
#include <vector>

using namespace lavendertally;
using namespace lavendertally::platform;

namespace {

constexpr framework::Milliseconds GenerousTimeout{10000};
constexpr framework::Milliseconds PollInterval{2};

std::string response(const std::string &status, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

std::string answer(const std::string &result)
{
    return response("200 OK", R"({"items":[{"handleId":")" + result + R"("}]})");
}

const std::string Freed = response("200 OK", "{}");
const std::string Report = response("200 OK", R"({"waiting":0,"busy":false,"freeMb":5.0})");

} // namespace

class StageCallPortTest : public testing::Test
{
protected:
    StageCallPortTest()
        : m_loop(framework::FrameworkModule::makeEventLoop()),
          m_server(*m_loop,
                   [this](http::ScriptedServer::Connection &connection) {
                       if (m_script) {
                           m_script(connection);
                           return;
                       }
                       http::ScriptedServer::send(connection, m_answers.at(m_calls));
                       ++m_calls;
                   }),
          m_servers(membership::MembershipModule::makeBackendServerTracker(m_logger)),
          m_metrics(framework::FrameworkModule::makeMetrics()),
          m_clock(framework::FrameworkModule::makeSystemClock()),
          m_shares(connections::ConnectionsModule::makeShares(*m_servers, m_serving, *m_loop,
                                                              *m_clock, m_logger, *m_metrics)),
          m_client(http::HttpModule::makeClient(*m_loop, options())),
          m_port(*m_client, *m_servers, *m_shares, m_logger, *m_metrics),
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

    /// Runs the loop until \p condition holds.
    bool runUntil(const std::function<bool()> &condition)
    {
        std::unique_ptr<framework::ITimer> timer;
        bool holds = false;
        std::function<void()> poll = [&] {
            holds = condition();
            if (holds) {
                m_loop->stop();
            } else {
                timer = m_loop->callAfter(PollInterval, poll);
            }
        };
        timer = m_loop->callAfter(PollInterval, poll);
        m_loop->run();
        return holds;
    }
    void freeResult()
    {
        m_port.freeResults(
            {framework::StageResultId(m_server.endpoint().toString() + "/a")},
            [this](const std::vector<framework::StageResultId> & /*results*/) { ++m_freed; });
    }
    void queryFreeStorage()
    {
        membership::BackendServerEntry server;
        server.endpoint = m_server.endpoint();
        m_port.queryFreeStorage(server, [this](framework::Bytes /*free*/) { ++m_reports; });
    }

    framework::NullLogger m_logger;
    std::unique_ptr<framework::IEventLoop> m_loop;
    std::size_t m_freed = 0;
    std::size_t m_reports = 0;
    /// What the server does when bytes arrive; null if it sends one of m_answers.
    http::ScriptedServer::Handler m_script;
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

// Guards against requests that are given the stage results of another one: the answer to a call
// whose place a late copy has taken must not be read as the answer to the call after it.
TEST_F(StageCallPortTest, CopyOfAnswerToFreeingArrivesDuringNextCall_NoPieceGetsResultsOfOthers)
{
    int calls = 0;
    m_script = [&calls](http::ScriptedServer::Connection &connection) {
        ++calls;
        if (connection.number == 0) {
            // Each answer comes one call late.
            http::ScriptedServer::send(connection, calls == 1 ? Freed : answer("1.2.3.4:5/a"));
        } else {
            http::ScriptedServer::send(connection, answer("1.2.3.4:5/b"));
        }
    };
    EXPECT_EQ(call().status, stages::StageCallStatus::Unknown);
    EXPECT_EQ(call().pieces.at(0).result.value(), "1.2.3.4:5/b");
}

TEST_F(StageCallPortTest, AnswersBelongToTheirCalls_ConnectionIsReused)
{
    m_answers = {answer("1.2.3.4:5/a"), Freed, Report, response("200 OK", ""),
                 answer("1.2.3.4:5/b")};
    EXPECT_EQ(call().pieces.at(0).result.value(), "1.2.3.4:5/a");
    freeResult();
    EXPECT_TRUE(runUntil([this] { return m_freed == 1; }));
    queryFreeStorage();
    EXPECT_TRUE(runUntil([this] { return m_reports == 1; }));
    freeResult();
    EXPECT_TRUE(runUntil([this] { return m_freed == 2; }));
    EXPECT_EQ(call().pieces.at(0).result.value(), "1.2.3.4:5/b");
    EXPECT_EQ(m_server.connections(), 1U);
}

namespace {

enum class StageRequest
{
    Run,
    Free,
    Report,
};

/// An answer that cannot be the one to a call.
struct ForeignAnswer
{
    std::string name;
    StageRequest request;
    std::string answer;
};

void PrintTo(const ForeignAnswer &answer, std::ostream *stream)
{
    *stream << answer.name;
}

} // namespace

class ForeignStageAnswerTest : public StageCallPortTest,
                               public testing::WithParamInterface<ForeignAnswer>
{ };

// Guards against connections that stay in use although the answer to a call is still to come.
TEST_P(ForeignStageAnswerTest, AnswerCannotBelongToTheCall_ItsConnectionIsClosed)
{
    m_answers = {GetParam().answer};
    switch (GetParam().request) {
    case StageRequest::Run:
        EXPECT_EQ(call().status, stages::StageCallStatus::Unknown);
        break;
    case StageRequest::Free:
        freeResult();
        break;
    case StageRequest::Report:
        queryFreeStorage();
        break;
    }
    EXPECT_TRUE(runUntil([this] { return m_calls == 1 && m_server.openConnections() == 0; }));
    EXPECT_EQ(m_freed, 0U);
    EXPECT_EQ(m_reports, 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Calls, ForeignStageAnswerTest,
    testing::Values(
        ForeignAnswer{"Run_Freed", StageRequest::Run, Freed},
        ForeignAnswer{"Run_Empty", StageRequest::Run, response("200 OK", "")},
        ForeignAnswer{"Run_Report", StageRequest::Run, Report},
        ForeignAnswer{"Run_Failure", StageRequest::Run, response("500 Error", "{}")},
        ForeignAnswer{"Run_NoItems", StageRequest::Run, response("200 OK", R"({"items":[]})")},
        ForeignAnswer{"Run_ItemsOfMorePieces", StageRequest::Run,
                      response("200 OK", R"({"items":[{"handleId":"a"},{"handleId":"b"}]})")},
        ForeignAnswer{"Free_Results", StageRequest::Free, answer("1.2.3.4:5/a")},
        ForeignAnswer{"Free_Report", StageRequest::Free, Report},
        ForeignAnswer{"Free_NotJson", StageRequest::Free, response("200 OK", "ok")},
        ForeignAnswer{"Free_Failure", StageRequest::Free, response("500 Error", "{}")},
        ForeignAnswer{"Report_Results", StageRequest::Report, answer("1.2.3.4:5/a")},
        ForeignAnswer{"Report_Freed", StageRequest::Report, Freed},
        ForeignAnswer{"Report_Refusal", StageRequest::Report, response("503 Busy", "{}")}),
    [](const testing::TestParamInfo<ForeignAnswer> &info) { return info.param.name; });
