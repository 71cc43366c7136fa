#include "framework/frameworkmodule.h"
#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "framework/testing/nulllogger.h"
#include "http/httpmodule.h"
#include "http/ihttpclient.h"
#include "http/tests/scriptedserver.h"
#include "membership/ibackendservertracker.h"
#include "membership/membershipmodule.h"
#include "platform/internal/httpbackendport.h"
#include "proxy/ibackendcall.h"
#include "proxy/ibackendresponseobserver.h"
#include "proxy/types/backendrequest.h"
#include "proxy/types/clientrequest.h"
#include "proxy/types/responsehead.h"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

using namespace lavendertally;
using namespace lavendertally::platform;

namespace {

constexpr framework::Milliseconds GenerousTimeout{10000};

std::string answer(const char *status, const std::string &fields)
{
    return std::string("HTTP/1.1 ") + status + "\r\n" + fields + "Content-Length: 0\r\n\r\n";
}

std::string withId(const char *id)
{
    return std::string("X-Lavendertally-Request-Id: ") + id + "\r\n";
}

const std::string NotExecuted = "X-Lavendertally-Not-Executed: 1\r\n";

} // namespace

class BackendPortTest : public testing::Test, public proxy::IBackendResponseObserver
{
protected:
    BackendPortTest()
        : m_loop(framework::FrameworkModule::makeEventLoop()),
          m_server(*m_loop,
                   [this](http::ScriptedServer::Connection &connection) {
                       http::ScriptedServer::send(connection, m_answers.at(m_requests));
                       ++m_requests;
                   }),
          m_client(http::HttpModule::makeClient(*m_loop)),
          m_servers(membership::MembershipModule::makeBackendServerTracker(m_logger)),
          m_port(*m_client, *m_servers),
          m_guard(m_loop->callAfter(GenerousTimeout, [this] { m_loop->stop(); }))
    { }

    /// \return head of the answer that is taken for that of the request
    std::optional<proxy::ResponseHead> request(const char *id, bool needsNewConnection = false)
    {
        proxy::ClientRequest client;
        client.id = framework::RequestId(id);
        client.method = "GET";
        client.target = "/x";
        proxy::BackendRequest request;
        request.request = &client;
        request.server.endpoint = m_server.endpoint();
        request.server.id = framework::BackendServerId("i-1");
        request.timeLeft = GenerousTimeout;
        request.needsNewConnection = needsNewConnection;
        m_head.reset();
        const auto call = m_port.send(request, *this);
        m_loop->run();
        return m_head;
    }

    void onHead(const proxy::ResponseHead &head) override { m_head = head; }
    void onEvent(const proxy::StreamEvent & /*event*/) override { }
    void onBody(std::string_view /*data*/) override { }
    void onEnd(proxy::BackendCallEnd /*end*/) override { m_loop->stop(); }

    std::unique_ptr<framework::IEventLoop> m_loop;
    /// What the server sends for each request, in order.
    std::vector<std::string> m_answers;
    std::size_t m_requests = 0;
    http::ScriptedServer m_server;
    std::unique_ptr<http::IHttpClient> m_client;
    framework::NullLogger m_logger;
    std::unique_ptr<membership::IBackendServerTracker> m_servers;
    HttpBackendPort m_port;
    std::unique_ptr<framework::ITimer> m_guard;
    std::optional<proxy::ResponseHead> m_head;
};

TEST_F(BackendPortTest, RefusalIsSentOnceMoreDuringNextRequest_ItsOwnAnswerCounts)
{
    const std::string refusal = answer("503 Busy", NotExecuted + withId("r1"));
    m_answers = {refusal, refusal + answer("200 OK", withId("r2"))};
    EXPECT_TRUE(request("r1")->notExecuted);
    EXPECT_EQ(request("r2")->status, 200);
    EXPECT_EQ(m_server.connections(), 1U);
}

TEST_F(BackendPortTest, RefusalWithoutIdArrives_RequestMayHaveRun)
{
    m_answers = {answer("503 Busy", NotExecuted)};
    const auto head = request("r1");
    ASSERT_TRUE(head);
    EXPECT_FALSE(head->notExecuted);
    EXPECT_FALSE(head->isSigned);
}

TEST_F(BackendPortTest, SameRequestIsSentAgain_ConnectionIsNew)
{
    const std::string refusal = answer("409 Conflict", NotExecuted + withId("r1"));
    m_answers = {refusal, answer("200 OK", withId("r1"))};
    EXPECT_TRUE(request("r1")->notExecuted);
    EXPECT_EQ(request("r1", true)->status, 200);
    EXPECT_EQ(m_server.connections(), 2U);
}

TEST_F(BackendPortTest, ServerSaysThatItLeaves_AdmitsNoMore)
{
    membership::BackendServerEntry entry;
    entry.id = framework::BackendServerId("i-1");
    m_servers->put(entry);
    m_answers = {answer("200 OK", "Server-Leaving: 1\r\n"), answer("200 OK", withId("r2")),
                 answer("200 OK", "Server-Leaving: 1\r\n" + withId("r3"))};
    request("r1");
    EXPECT_TRUE(m_servers->isReady(entry.id)) << "the answer names no request";
    request("r2");
    EXPECT_TRUE(m_servers->isReady(entry.id));
    request("r3");
    EXPECT_FALSE(m_servers->isReady(entry.id));
    EXPECT_EQ(m_servers->findAdmitting(entry.id), nullptr);
}
