#include "proxy/tests/proxyfixture.h"

#include <algorithm>
#include <set>

using namespace lavendertally;
using namespace lavendertally::proxy;

/// Two backend servers with four slots each, of which this gateway is the only user.
class ProxyPlaceTest : public ProxyFixture
{
protected:
    static constexpr std::size_t Slots = 8;

    ClientRequest numbered(const char *route)
    {
        ClientRequest result = request(route);
        result.id = framework::RequestId("n" + std::to_string(m_started++));
        return result;
    }
    static ResponseHead headWithLoad(std::uint32_t running)
    {
        ResponseHead result = head(200);
        result.load = routing::ServerLoad{running, 0, 4};
        return result;
    }
    /// Lets the gateway know that the servers report their load, then fills all slots.
    void fill()
    {
        start(numbered("read"));
        respond(0, headWithLoad(1));
        for (std::size_t index = 0; index < Slots; ++index) {
            start(numbered("read"));
        }
        ASSERT_EQ(m_backends.m_sent.size(), 1 + Slots);
    }

    /// Lets the gateway know the load of both servers, and leaves it two calls and free slots.
    void reportLoad()
    {
        for (std::size_t index = 0; index < 4; ++index) {
            start(numbered("read"));
        }
        respond(0, headWithLoad(2));
        respond(1, headWithLoad(2));
    }

    std::uint64_t m_started = 0;
};

// Load: both servers reject a connection. Guards against rejections that do not count as lack of
// capacity, so that further requests are sent at once.
TEST_F(ProxyPlaceTest, ServersRejectConnections_NextRequestWaits)
{
    reportLoad();
    start(numbered("book"));
    sent(4).observer->onEnd(BackendCallEnd::Rejected);
    ASSERT_EQ(m_backends.m_sent.size(), 6U);
    sent(5).observer->onEnd(BackendCallEnd::Rejected);
    const auto received = start(numbered("book"));
    EXPECT_EQ(m_backends.m_sent.size(), 6U);
    EXPECT_FALSE(received->refusal);
}

// Load: one server states that it did not run the request, the other rejects the connection. Guards
// against a rejection that is judged by the head of the attempt before it.
TEST_F(ProxyPlaceTest, ServerRejectsConnectionAfterARefusal_NextRequestWaits)
{
    reportLoad();
    start(numbered("book"));
    respond(4, notExecuted());
    advance(50);
    ASSERT_EQ(m_backends.m_sent.size(), 6U);
    sent(5).observer->onEnd(BackendCallEnd::Rejected);
    const auto received = start(numbered("book"));
    EXPECT_EQ(m_backends.m_sent.size(), 6U);
    EXPECT_FALSE(received->refusal);
}

// Load: one request more than the servers have slots. Guards against requests passed on to servers
// that are full, and against places that stay free while a request waits.
TEST_F(ProxyPlaceTest, AllSlotsAreTaken_RequestWaitsUntilACallEnds)
{
    fill();
    const auto received = start(numbered("read"));
    EXPECT_EQ(m_backends.m_sent.size(), 1 + Slots);
    EXPECT_FALSE(received->refusal);
    respond(1, headWithLoad(4));
    advance(0);
    ASSERT_EQ(m_backends.m_sent.size(), 2 + Slots);
    respond(1 + Slots, headWithLoad(4));
    EXPECT_EQ(received->status, 200);
}

// Load: the same; the client leaves. Guards against a place given to a request that has ended.
TEST_F(ProxyPlaceTest, ClientLeavesWhileItsRequestWaits_NothingIsSentForIt)
{
    fill();
    start(numbered("read"));
    m_service->abandon(m_ticket);
    respond(1, headWithLoad(4));
    advance(20);
    EXPECT_EQ(m_backends.m_sent.size(), 1 + Slots);
}

// Load: the same; the process ends, or the time of the request. Guards against requests that waited
// at the gateway being answered as unknown.
TEST_F(ProxyPlaceTest, WaitEndsWithoutAPlace_RequestIsRefusedAsNotRun)
{
    fill();
    const auto ended = start(numbered("book"));
    m_service->endAll();
    EXPECT_EQ(ended->refusal, RefusalKind::NotRun);
}

// Load: answers take 500 ms, and a request with 800 ms finds all slots taken and the queue full.
// Guards against requests that are held until their deadline although they cannot be served, and
// against a Retry-After that callers ignore.
TEST_F(ProxyPlaceTest, NoTimeForTheWorkAhead_RequestIsRefusedAtOnce)
{
    start(numbered("read"));
    advance(500);
    respond(0, headWithLoad(1));
    for (std::size_t index = 0; index < Slots; ++index) {
        start(numbered("read"));
    }
    std::vector<std::shared_ptr<ReceivedResponse>> received;
    received.reserve(32);
    for (int index = 0; index < 32; ++index) {
        received.push_back(start(numbered("read")));
    }
    EXPECT_EQ(m_backends.m_sent.size(), 1 + Slots);
    ASSERT_TRUE(received.back()->refusal);
    EXPECT_EQ(received.back()->refusal, RefusalKind::NotRun);
    EXPECT_GT(received.back()->retryAfter, framework::Milliseconds(0));
    EXPECT_NE(m_metrics->prometheusText().find("lavendertally_place_refusals_total"),
              std::string::npos);
    const auto lines =
        std::count_if(m_logger.m_lines.begin(), m_logger.m_lines.end(), [](const auto &line) {
            return line.event == "requests refused for lack of places";
        });
    EXPECT_EQ(lines, 1);
}

// Load: 100 requests at once to servers that report no load. Guards against a change for services
// that do not report.
TEST_F(ProxyPlaceTest, ServersReportNoLoad_EverythingIsPassedOn)
{
    start(numbered("read"));
    respond(0, head(200));
    for (int index = 0; index < 100; ++index) {
        start(numbered("read"));
    }
    EXPECT_EQ(m_backends.m_sent.size(), 101U);
}

// Load: ten requests refused by the stage coordinator at once. Guards against callers that are all
// told the same time and return together, or are told a time that they ignore.
TEST_F(ProxyPlaceTest, StagesOverloaded_RetryAfterIsSpreadWithinAThirdOfTheTimeLeft)
{
    std::vector<std::shared_ptr<ReceivedResponse>> received;
    received.reserve(10);
    for (int index = 0; index < 10; ++index) {
        ClientRequest staged = numbered("staged");
        staged.pieces = {1};
        received.push_back(start(staged));
        m_stages.end(staged.id.value().c_str(), protocol::StageJobStatus::Overloaded,
                     framework::Milliseconds(100));
    }
    std::set<framework::Milliseconds> named;
    for (const auto &response : received) {
        EXPECT_EQ(response->refusal, RefusalKind::NotRun);
        EXPECT_GE(response->retryAfter, framework::Milliseconds(100));
        EXPECT_LE(response->retryAfter, framework::Milliseconds(800 / 3));
        named.insert(response->retryAfter);
    }
    EXPECT_GT(named.size(), 3U);
}
