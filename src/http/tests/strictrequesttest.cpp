#include "framework/frameworkmodule.h"
#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "http/httpmodule.h"
#include "http/ihttpexchange.h"
#include "http/ihttpserver.h"
#include "http/servershutdown.h"
#include "http/tests/rawserverfixture.h"
#include "http/tests/rawsocket.h"
#include "http/types/httprequesthead.h"

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <thread>
#include <vector>

using namespace lavendertally;
using namespace lavendertally::http;

struct RawRequestCase
{
    const char *name;
    const char *bytes;
    /// Start of the expected answer.
    const char *answer;
    /// Requests that may reach the handler.
    std::size_t handled;
};

class RawRequestTest : public RawServerTest, public testing::WithParamInterface<RawRequestCase>
{ };

TEST_P(RawRequestTest, OnlyOneReadingIsAccepted)
{
    RawSocket client(m_endpoint);
    client.send(GetParam().bytes);
    ASSERT_TRUE(runUntil([&] { return client.received().find("\r\n\r\n") != std::string::npos; }));
    EXPECT_TRUE(client.received().starts_with(GetParam().answer)) << client.received();
    EXPECT_EQ(m_targets.size(), GetParam().handled);
}

constexpr const char *Ok = "HTTP/1.1 200";
constexpr const char *Bad = "HTTP/1.1 400";

INSTANTIATE_TEST_SUITE_P(
    Http, RawRequestTest,
    testing::Values(
        RawRequestCase{"Plain", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", Ok, 1},
        RawRequestCase{"WithBody", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab", Ok,
                       1},
        RawRequestCase{"Chunked",
                       "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "2\r\nab\r\n0\r\n\r\n",
                       Ok, 1},
        RawRequestCase{"TwoLengths",
                       "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 40\r\n"
                       "\r\nabGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n",
                       Bad, 0},
        RawRequestCase{"LengthAndChunked",
                       "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                       Bad, 0},
        RawRequestCase{"SpaceBeforeColon",
                       "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n"
                       "0\r\n\r\n",
                       Bad, 0},
        RawRequestCase{"SignedLength",
                       "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +2\r\n\r\nab", Bad, 0},
        RawRequestCase{"HexPrefixedChunk",
                       "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "0x2\r\nab\r\n0\r\n\r\n",
                       Bad, 0},
        RawRequestCase{"UnknownCoding",
                       "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
                       "0\r\n\r\n",
                       Bad, 0},
        RawRequestCase{"BareLineFeeds", "GET /a HTTP/1.1\nHost: h\n\n\r\n\r\n", Bad, 0},
        RawRequestCase{"NoHost", "GET /a HTTP/1.1\r\n\r\n", Bad, 0},
        RawRequestCase{"TwoHosts", "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", Bad, 0},
        RawRequestCase{"AbsoluteTarget", "GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n", Bad, 0},
        RawRequestCase{"SpaceInName", "GET /a HTTP/1.1\r\nHost: h\r\nX y: 1\r\n\r\n", Bad, 0},
        RawRequestCase{"BodyTooLarge",
                       "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n",
                       "HTTP/1.1 413", 0}),
    [](const auto &info) { return info.param.name; });

TEST_F(RawServerTest, ZeroByteInValueIsRefused)
{
    RawSocket client(m_endpoint);
    client.send(std::string_view("GET /a HTTP/1.1\r\nHost: h\r\nX: a\0b\r\n\r\n", 37));
    ASSERT_TRUE(runUntil([&] { return client.isClosed(); }));
    EXPECT_TRUE(client.received().starts_with(Bad));
    EXPECT_TRUE(m_targets.empty());
}

TEST_F(RawServerTest, LargeHeadersAreRefused)
{
    RawSocket client(m_endpoint);
    client.send("GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(600, 'x') + "\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return client.isClosed(); }));
    EXPECT_TRUE(client.received().starts_with("HTTP/1.1 431")) << client.received();
}

TEST_F(RawServerTest, PipelinedRequestsAreAnsweredInOrder)
{
    RawSocket client(m_endpoint);
    client.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nxGET /b HTTP/1.1\r\n"
                "Host: h\r\nConnection: close\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return client.isClosed(); }));
    EXPECT_EQ(m_targets, (std::vector<std::string>{"/a", "/b"}));
    EXPECT_EQ(m_bodies, (std::vector<std::string>{"x", ""}));
}

TEST_F(RawServerTest, HeadArrivesByteByByte_RequestIsRefusedAtItsTimeLimit)
{
    RawSocket client(m_endpoint);
    client.send("GET / HTTP/1.1\r\nHost: h\r\nX-Slow: ");
    std::unique_ptr<framework::ITimer> next;
    std::function<void()> sendByte = [&] {
        client.send("a");
        next = m_loop->callAfter(framework::Milliseconds(30), sendByte);
    };
    sendByte();
    ASSERT_TRUE(runUntil([&] { return !client.received().empty(); }));
    EXPECT_TRUE(client.received().starts_with("HTTP/1.1 408"));
    EXPECT_TRUE(m_targets.empty());
}

TEST_F(RawServerTest, SlowRequestIsTimedOut)
{
    RawSocket client(m_endpoint);
    client.send("GET /a HTTP/1.1\r\nHo");
    ASSERT_TRUE(runUntil([&] { return client.isClosed(); }));
    EXPECT_TRUE(client.received().starts_with("HTTP/1.1 408"));
}

TEST_F(RawServerTest, IdleConnectionIsClosedWithoutAnswer)
{
    RawSocket client(m_endpoint);
    ASSERT_TRUE(runUntil([&] { return client.isClosed(); }));
    EXPECT_EQ(client.received(), "");
}

TEST_F(RawServerTest, ClosingServerEndsConnectionsAfterTheNextResponse)
{
    RawSocket client(m_endpoint);
    m_server->closeAfterResponses();
    client.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return client.isClosed(); }));
    EXPECT_TRUE(client.received().starts_with(Ok));
    EXPECT_NE(client.received().find("Connection: close"), std::string::npos);
}

TEST_F(RawServerTest, ListeningStopsBeforeConnectionIsAccepted_RequestOnItIsAnswered)
{
    RawSocket client(m_endpoint);
    client.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    m_server->closeAfterResponses();
    m_server->stopListening();
    m_server->closeIdleConnections();
    EXPECT_EQ(m_server->connectionsInUse(), 1U);
    ASSERT_TRUE(runUntil([&] { return client.isClosed(); }));
    EXPECT_TRUE(client.received().starts_with(Ok)) << client.received();
}

TEST_F(RawServerTest, RequestArrivesAsIdleConnectionsAreClosed_ItIsAnswered)
{
    RawSocket client(m_endpoint);
    client.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return client.received().ends_with("ok"); }));
    client.send("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    m_server->closeIdleConnections();
    ASSERT_TRUE(runUntil([&] { return m_targets.size() == 2; }));
    EXPECT_TRUE(
        runUntil([&] { return client.received().rfind("ok") > client.received().find("ok"); }));
}

TEST_F(RawServerTest, NewConnectionSendsNothingWhileServerCloses_ItIsClosed)
{
    RawSocket client(m_endpoint);
    m_server->stopListening();
    m_server->closeIdleConnections();
    EXPECT_EQ(m_server->connectionsInUse(), 1U);
    ASSERT_TRUE(runUntil([&] { return client.isClosed(); }));
    EXPECT_EQ(m_server->connectionsInUse(), 0U);
}

TEST_F(RawServerTest, NextRequestHasBeenReadAsServerBeginsToClose_ItIsAnswered)
{
    std::shared_ptr<IHttpExchange> first;
    m_server->setHandler([&](const std::shared_ptr<IHttpExchange> &exchange) {
        m_targets.push_back(exchange->head().target);
        if (!first) {
            first = exchange;
            return;
        }
        exchange->reply(200, "text/plain", "ok");
    });
    RawSocket client(m_endpoint);
    client.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return first != nullptr; }));
    m_server->closeAfterResponses();
    first->reply(200, "text/plain", "ok");
    ASSERT_TRUE(runUntil([&] { return client.isClosed(); }));
    EXPECT_EQ(m_targets.size(), 2U);
    EXPECT_GT(client.received().rfind("ok"), client.received().find("ok")) << client.received();
}

TEST_F(RawServerTest, ServerBeginsToCloseDuringAnAnswer_NextRequestIsAnswered)
{
    std::shared_ptr<IHttpExchange> first;
    m_server->setHandler([&](const std::shared_ptr<IHttpExchange> &exchange) {
        m_targets.push_back(exchange->head().target);
        if (!first) {
            first = exchange;
            exchange->startStream(200, "text/plain", {});
            return;
        }
        exchange->reply(200, "text/plain", "ok");
    });
    RawSocket client(m_endpoint);
    client.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return first != nullptr; }));
    m_server->closeAfterResponses();
    first->endStream();
    client.send("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return client.isClosed(); }));
    EXPECT_EQ(m_targets.size(), 2U);
    EXPECT_TRUE(client.received().ends_with("ok")) << client.received();
}

TEST_F(RawServerTest, ServerIsShutDownBeforeRequestIsRead_ShutdownWaitsForItsAnswer)
{
    RawSocket kept(m_endpoint);
    kept.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return kept.received().ends_with("ok"); }));
    RawSocket idle(m_endpoint);
    idle.send("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return idle.received().ends_with("ok"); }));
    kept.send("GET /c HTTP/1.1\r\nHost: h\r\n\r\n");
    RawSocket waiting(m_endpoint);
    waiting.send("GET /d HTTP/1.1\r\nHost: h\r\n\r\n");
    ServerShutdown shutdown(*m_server);
    shutdown.begin();
    EXPECT_FALSE(shutdown.finish());
    ASSERT_TRUE(runUntil([&] { return shutdown.finish(); }));
    EXPECT_EQ(m_targets.size(), 4U);
    EXPECT_TRUE(runUntil([&] { return kept.isClosed() && idle.isClosed() && waiting.isClosed(); }));
    EXPECT_TRUE(waiting.received().ends_with("ok")) << waiting.received();
    EXPECT_GT(kept.received().rfind("ok"), kept.received().find("ok")) << kept.received();
}

TEST_F(RawServerTest, RequestArrivesAsTheIdleTimeIsOver_ItIsAnswered)
{
    constexpr int MaxTries = 20;
    bool isSentInTime = false;
    for (int each = 0; each < MaxTries && !isSentInTime; ++each) {
        m_targets.clear();
        RawSocket client(m_endpoint);
        std::unique_ptr<framework::ITimer> next;
        m_server->setHandler([&](const std::shared_ptr<IHttpExchange> &exchange) {
            m_targets.push_back(exchange->head().target);
            // Due shortly before the idle time is over, in the same turn of the loop. A connection
            // that is closed by then, as the machine was late, shows nothing.
            next = m_loop->callAfter(limits().idleTimeout - framework::Milliseconds(1), [&] {
                isSentInTime = m_server->connectionsInUse() == 1;
                client.send("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
            });
            exchange->reply(200, "text/plain", "ok");
        });
        client.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        ASSERT_TRUE(runUntil([&] { return client.received().ends_with("ok"); }));
        std::this_thread::sleep_for(std::chrono::milliseconds(limits().idleTimeout.value() + 3));
        ASSERT_TRUE(runUntil([&] { return m_targets.size() == 2 || client.isClosed(); }));
        if (isSentInTime) {
            EXPECT_EQ(m_targets.size(), 2U);
        }
    }
    EXPECT_TRUE(isSentInTime);
}

TEST_F(RawServerTest, IdleConnectionsCanBeClosedWhileOthersAreServed)
{
    std::shared_ptr<IHttpExchange> kept;
    m_server->setHandler([&](const std::shared_ptr<IHttpExchange> &exchange) { kept = exchange; });
    RawSocket idle(m_endpoint);
    RawSocket busy(m_endpoint);
    busy.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return kept != nullptr; }));
    m_server->closeIdleConnections();
    ASSERT_TRUE(runUntil([&] { return idle.isClosed(); }));
    kept->reply(200, "text/plain", "ok");
    ASSERT_TRUE(runUntil([&] { return busy.received().ends_with("ok"); }));
}

TEST_F(RawServerTest, ClientThatWaitsForLeaveGetsIt)
{
    RawSocket client(m_endpoint);
    client.send("POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    ASSERT_TRUE(
        runUntil([&] { return client.received().starts_with("HTTP/1.1 100 Continue\r\n\r\n"); }));
    client.send("ab");
    ASSERT_TRUE(runUntil([&] { return client.received().ends_with("ok"); }));
    EXPECT_EQ(m_bodies, (std::vector<std::string>{"ab"}));
}

TEST_F(RawServerTest, StreamWithALengthIsNotChunked)
{
    m_server->setHandler([](const std::shared_ptr<IHttpExchange> &exchange) {
        exchange->startStream(200, {}, {{"Content-Length", "4"}});
        exchange->sendPart("ab");
        exchange->sendPart("cd");
        exchange->endStream();
    });
    RawSocket client(m_endpoint);
    client.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return client.received().ends_with("\r\n\r\nabcd"); }));
    EXPECT_EQ(client.received().find("chunked"), std::string::npos);
}

TEST_F(RawServerTest, StreamToAClientWithoutChunksEndsWithAnOrderlyClose)
{
    m_server->setHandler([](const std::shared_ptr<IHttpExchange> &exchange) {
        exchange->startStream(200, {}, {});
        exchange->sendPart("ab");
        exchange->endStream();
    });
    RawSocket client(m_endpoint);
    client.send("GET /a HTTP/1.0\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return client.isClosed(); }));
    EXPECT_FALSE(client.isReset());
    EXPECT_TRUE(client.received().ends_with("\r\n\r\nab")) << client.received();
}

TEST_F(RawServerTest, AbortedStreamToAClientWithoutChunksEndsWithAReset)
{
    std::shared_ptr<IHttpExchange> open;
    m_server->setHandler([&open](const std::shared_ptr<IHttpExchange> &exchange) {
        open = exchange;
        exchange->startStream(200, {}, {});
        exchange->sendPart("ab");
    });
    RawSocket client(m_endpoint);
    client.send("GET /a HTTP/1.0\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return client.received().ends_with("\r\n\r\nab"); }));
    open->abort();
    ASSERT_TRUE(runUntil([&] { return client.isClosed(); }));
    EXPECT_TRUE(client.isReset());
}

TEST_F(RawServerTest, ServerEndsDuringAStreamToAClientWithoutChunks_ConnectionIsReset)
{
    std::shared_ptr<IHttpExchange> open;
    m_server->setHandler([&open](const std::shared_ptr<IHttpExchange> &exchange) {
        open = exchange;
        exchange->startStream(200, {}, {});
        exchange->sendPart("ab");
    });
    RawSocket client(m_endpoint);
    client.send("GET /a HTTP/1.0\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return client.received().ends_with("\r\n\r\nab"); }));
    m_server.reset();
    ASSERT_TRUE(runUntil([&] { return client.isClosed(); }));
    EXPECT_TRUE(client.isReset());
}
