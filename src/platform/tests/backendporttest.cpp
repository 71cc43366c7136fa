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
#include "platform/internal/httpbackendport.h"
#include "proxy/ibackendcall.h"
#include "proxy/ibackendresponseobserver.h"
#include "proxy/types/backendrequest.h"
#include "proxy/types/clientrequest.h"
#include "proxy/types/responsehead.h"
#include "serving/testing/fakeservingstate.h"

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
          m_servers(membership::MembershipModule::makeBackendServerTracker(m_logger)),
          m_metrics(framework::FrameworkModule::makeMetrics()),
          m_clock(framework::FrameworkModule::makeSystemClock()),
          m_shares(connections::ConnectionsModule::makeShares(*m_servers, m_serving, *m_loop,
                                                              *m_clock, m_logger, *m_metrics)),
          m_client(http::HttpModule::makeClient(*m_loop, options())),
          m_port(*m_client, *m_servers, *m_shares),
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
        request.server.incarnation = m_incarnation;
        request.server.service = m_service;
        request.atMostOnce = m_atMostOnce;
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
    void onEnd(proxy::BackendCallEnd end) override
    {
        m_end = end;
        m_loop->stop();
    }
    http::HttpClientOptions options()
    {
        http::HttpClientOptions result;
        result.gate = &m_shares->gate();
        return result;
    }
    /// \return whether the server admits work once the store shows an entry of this start
    bool isAdmittedAfter(framework::Incarnation incarnation)
    {
        membership::BackendServerEntry entry;
        entry.id = framework::BackendServerId("i-1");
        entry.incarnation = incarnation;
        m_servers->put(entry);
        return m_servers->findAdmitting(entry.id) != nullptr;
    }
    void removeEntry() { m_servers->remove(framework::BackendServerId("i-1"), m_clock->now()); }
    /// Makes the server one of a service that accepts a number of connections for each server.
    void setCap(std::uint32_t connections)
    {
        serving::ServiceSpec spec;
        spec.id = m_service;
        spec.maxConnections = connections;
        m_serving.set({}, {spec});
    }

    std::unique_ptr<framework::IEventLoop> m_loop;
    /// What the server sends for each request, in order.
    std::vector<std::string> m_answers;
    std::size_t m_requests = 0;
    bool m_atMostOnce = true;
    http::ScriptedServer m_server;
    framework::NullLogger m_logger;
    std::unique_ptr<membership::IBackendServerTracker> m_servers;
    std::unique_ptr<framework::IMetrics> m_metrics;
    std::unique_ptr<framework::IClock> m_clock;
    serving::FakeServingState m_serving;
    std::unique_ptr<connections::IConnectionShares> m_shares;
    std::unique_ptr<http::IHttpClient> m_client;
    HttpBackendPort m_port;
    std::unique_ptr<framework::ITimer> m_guard;
    framework::Incarnation m_incarnation{7};
    std::optional<proxy::ResponseHead> m_head;
    std::optional<proxy::BackendCallEnd> m_end;
    const framework::ServiceId m_service{"plain"};
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

// Guards against bookings that are sent to a server after it has said that it leaves, since the
// store executed one of its heartbeats after its entry was removed.
TEST_F(BackendPortTest, EntryOfALeavingServerIsRemoved_LateReportDoesNotBringItBack)
{
    ASSERT_TRUE(isAdmittedAfter(m_incarnation));
    m_answers = {answer("200 OK", "Server-Leaving: 1\r\n" + withId("r1"))};
    request("r1");
    removeEntry();
    EXPECT_FALSE(isAdmittedAfter(m_incarnation));
    removeEntry();
    const framework::Incarnation before(m_incarnation.value() - 1);
    EXPECT_FALSE(isAdmittedAfter(before)) << "a late report of an earlier start";
    EXPECT_TRUE(isAdmittedAfter(m_incarnation.next())) << "it has started again";
}

TEST_F(BackendPortTest, ServerSaysThatItLeavesAfterItsEntryIsRemoved_LateReportDoesNotBringItBack)
{
    ASSERT_TRUE(isAdmittedAfter(m_incarnation));
    removeEntry();
    m_answers = {answer("200 OK", "Server-Leaving: 1\r\n" + withId("r1"))};
    request("r1");
    EXPECT_FALSE(isAdmittedAfter(m_incarnation));
}

// Guards against a server that gets no work since its earlier start has left.
TEST_F(BackendPortTest, ServerHasStartedAgainBeforeTheAnswer_ItIsAdmitted)
{
    ASSERT_TRUE(isAdmittedAfter(m_incarnation.next()));
    m_answers = {answer("200 OK", "Server-Leaving: 1\r\n" + withId("r1"))};
    request("r1");
    EXPECT_TRUE(isAdmittedAfter(m_incarnation.next()));
}

/// A server over its cap accepts and resets. A request that may run once must not be answered as
/// unknown for that, so nothing of it is written by then.
TEST_F(BackendPortTest, ServerResetsConnectionOverItsCap_RequestThatMayRunOnceIsNotSent)
{
    setCap(78);
    m_server.onAccept([](auto &connection) { http::ScriptedServer::reset(connection); });
    request("r1");
    EXPECT_EQ(m_end, proxy::BackendCallEnd::Rejected);
    EXPECT_EQ(m_server.connection(0).received, "");
}

TEST_F(BackendPortTest, ServerResetsConnectionOverItsCap_RepeatableRequestIsToldApartFromAFailure)
{
    setCap(78);
    m_atMostOnce = false;
    m_server.onAccept([](auto &connection) { http::ScriptedServer::reset(connection); });
    const auto wasRejected = [this] {
        return m_end == proxy::BackendCallEnd::RejectedAfterSend
            || m_end == proxy::BackendCallEnd::Rejected;
    };
    request("r1");
    EXPECT_TRUE(wasRejected());
    // No further connection is opened for a moment.
    request("r2");
    EXPECT_TRUE(wasRejected()) << "it waits, and is rejected again";
    EXPECT_EQ(m_server.connections(), 2U);
}
