#include "framework/frameworkmodule.h"
#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "http/httpmodule.h"
#include "http/iconnectiongate.h"
#include "http/ihttpcall.h"
#include "http/ihttpclient.h"
#include "http/tests/scriptedserver.h"
#include "http/types/httprequest.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace lavendertally;
using namespace lavendertally::http;

namespace {

constexpr framework::Milliseconds GenerousTimeout{10000};
constexpr framework::Milliseconds MaxWait{100};
constexpr const char *Answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Allows a number of connections, and counts what the client reports.
class CountingGate final : public IConnectionGate
{
public:
    explicit CountingGate(framework::IEventLoop &loop) : m_loop(loop) { }

    bool mayOpen(const framework::Endpoint & /*server*/) override
    {
        return m_inUse + m_idle < m_limit;
    }
    bool mayKeep(const framework::Endpoint & /*server*/) override
    {
        return m_inUse + m_idle <= m_limit;
    }
    bool mayWait(const framework::Endpoint & /*server*/) override
    {
        return m_waiting < m_maxWaiting;
    }
    void connectionOpened(const framework::Endpoint & /*server*/) override
    {
        ++m_opened;
        ++m_inUse;
    }
    void connectionIdle(const framework::Endpoint &server) override
    {
        --m_inUse;
        ++m_idle;
        tell(server);
        if (m_onIdle) {
            std::exchange(m_onIdle, {})();
        }
    }
    void connectionReused(const framework::Endpoint & /*server*/) override
    {
        ++m_inUse;
        --m_idle;
    }
    void connectionClosed(const framework::Endpoint &server, ConnectionClose state) override
    {
        --(state == ConnectionClose::Idle ? m_idle : m_inUse);
        m_rejected += state == ConnectionClose::Rejected ? 1 : 0;
        tell(server);
    }
    void waitStarted(const framework::Endpoint & /*server*/) override { ++m_waiting; }
    void waitEnded(const framework::Endpoint & /*server*/, bool /*isServed*/) override
    {
        --m_waiting;
    }
    void setWaitListener(std::function<void(const framework::Endpoint &)> listener) override
    {
        m_listener = std::move(listener);
    }

    /// Runs once, before the waiting calls are told of the idle connection.
    std::function<void()> m_onIdle;
    int m_limit = 1;
    int m_maxWaiting = 10;
    int m_inUse = 0;
    int m_idle = 0;
    int m_waiting = 0;
    int m_opened = 0;
    int m_rejected = 0;

private:
    void tell(const framework::Endpoint &server)
    {
        m_timer =
            m_loop.callAfter(framework::Milliseconds(0), [this, server] { m_listener(server); });
    }

    framework::IEventLoop &m_loop;
    std::function<void(const framework::Endpoint &)> m_listener;
    std::unique_ptr<framework::ITimer> m_timer;
};

} // namespace

class ConnectionGateTest : public testing::Test
{
protected:
    ConnectionGateTest()
        : m_loop(framework::FrameworkModule::makeEventLoop()), m_gate(*m_loop),
          m_server(*m_loop,
                   [this](ScriptedServer::Connection &connection) { m_script(connection); }),
          m_client(HttpModule::makeClient(*m_loop, options())),
          m_guard(m_loop->callAfter(GenerousTimeout, [this] { m_loop->stop(); }))
    { }

    HttpClientOptions options()
    {
        HttpClientOptions result;
        result.gate = &m_gate;
        result.maxConnectionWait = MaxWait;
        return result;
    }
    HttpRequest request(const std::string &target = "/") const
    {
        HttpRequest result;
        result.endpoint = m_server.endpoint();
        result.target = target;
        result.timeout = GenerousTimeout;
        return result;
    }
    /// Begins a call; run() ends when as many calls as were begun have ended.
    void begin(const HttpRequest &request)
    {
        const std::size_t number = m_ends.size();
        m_ends.emplace_back();
        ++m_pending;
        m_calls.push_back(m_client->fetch(request, [this, number](const HttpResponse &response) {
            m_ends[number] = response.end;
            m_order.push_back(number);
            if (--m_pending == 0) {
                m_loop->stop();
            }
        }));
    }
    void run() { m_loop->run(); }
    HttpEnd fetch(const HttpRequest &request)
    {
        begin(request);
        run();
        return m_ends.back();
    }

    std::unique_ptr<framework::IEventLoop> m_loop;
    CountingGate m_gate;
    std::function<void(ScriptedServer::Connection &)> m_script = [](auto &connection) {
        ScriptedServer::send(connection, Answer);
    };
    ScriptedServer m_server;
    std::unique_ptr<IHttpClient> m_client;
    std::unique_ptr<framework::ITimer> m_guard;
    std::vector<std::unique_ptr<IHttpCall>> m_calls;
    std::vector<HttpEnd> m_ends;
    std::vector<std::size_t> m_order;
    int m_pending = 0;
};

/// Guards against connections over the share, and against later calls that overtake.
TEST_F(ConnectionGateTest, LimitIsReached_CallsWaitInOrderAndReuseTheConnection)
{
    for (int count = 0; count < 4; ++count) {
        begin(request());
    }
    run();
    EXPECT_EQ(m_ends, std::vector<HttpEnd>(4, HttpEnd::Complete));
    EXPECT_EQ(m_order, (std::vector<std::size_t>{0, 1, 2, 3}));
    EXPECT_EQ(m_server.connections(), 1U);
    EXPECT_EQ(m_gate.m_waiting, 0);
    EXPECT_EQ(m_gate.m_idle, 1);
}

/// Guards against a response that is still to come and is taken for that to the next call.
TEST_F(ConnectionGateTest, ResponseBelongsToAnotherCall_WaitingCallGetsNewConnection)
{
    HttpRequest first = request();
    first.isOwnResponse = [](const HttpResponse & /*response*/) { return false; };
    begin(first);
    begin(request());
    run();
    EXPECT_EQ(m_ends, std::vector<HttpEnd>(2, HttpEnd::Complete));
    EXPECT_EQ(m_server.connections(), 2U);
    EXPECT_EQ(m_gate.m_idle, 1);
}

/// Guards against calls that are held until their deadline, and against their being answered as
/// unknown.
TEST_F(ConnectionGateTest, NoConnectionBecomesFree_CallEndsWithoutHavingBeenSent)
{
    m_script = [](auto & /*connection*/) {};
    begin(request("/held"));
    m_gate.m_maxWaiting = 1;
    begin(request("/waits"));
    begin(request("/refused"));
    EXPECT_FALSE(m_calls[1]->hasSent());
    m_pending = 2;
    run();
    EXPECT_EQ(m_ends[1], HttpEnd::NoConnection);
    EXPECT_EQ(m_ends[2], HttpEnd::NoConnection);
    EXPECT_EQ(m_order, (std::vector<std::size_t>{2, 1}))
        << "the one that may not wait ends at once";
    EXPECT_EQ(m_server.connections(), 1U);
    EXPECT_EQ(m_server.connection(0).received.find("/waits"), std::string::npos);
    EXPECT_EQ(m_gate.m_waiting, 0);
}

/// Guards against a call that was cancelled while it waited and is sent all the same.
TEST_F(ConnectionGateTest, WaitingCallIsCancelled_NextOneGetsTheConnection)
{
    begin(request("/a"));
    begin(request("/b"));
    begin(request("/c"));
    m_calls[1].reset();
    m_pending = 2;
    run();
    EXPECT_EQ(m_order, (std::vector<std::size_t>{0, 2}));
    EXPECT_EQ(m_server.connection(0).received.find("/b"), std::string::npos);
    EXPECT_EQ(m_gate.m_waiting, 0);
}

/// Guards against a call that needs a new connection and never gets one because of an idle one.
TEST_F(ConnectionGateTest, IdleConnectionIsTooOldForCall_ItMakesRoom)
{
    EXPECT_EQ(fetch(request()), HttpEnd::Complete);
    HttpRequest needsNew = request();
    needsNew.maxIdleBefore = framework::Milliseconds(-1);
    EXPECT_EQ(fetch(needsNew), HttpEnd::Complete);
    EXPECT_EQ(m_server.connections(), 2U);
    EXPECT_EQ(m_gate.m_inUse + m_gate.m_idle, 1);
}

/// Guards against a new call that closes the connection which has become free for a waiting one.
TEST_F(ConnectionGateTest, CallArrivesWhenConnectionBecomesFree_ConnectionIsKept)
{
    begin(request("/a"));
    begin(request("/b"));
    m_gate.m_onIdle = [this] { begin(request("/c")); };
    run();
    EXPECT_EQ(m_ends, std::vector<HttpEnd>(3, HttpEnd::Complete));
    EXPECT_EQ(m_order, (std::vector<std::size_t>{0, 1, 2}));
    EXPECT_EQ(m_server.connections(), 1U);
}

/// Guards against a waiting call that cannot use the idle connection and blocks all behind it.
TEST_F(ConnectionGateTest, FirstWaitingCallNeedsNewConnection_IdleOneMakesRoom)
{
    HttpRequest needsNew = request("/new");
    needsNew.maxIdleBefore = framework::Milliseconds(-1);
    begin(request("/a"));
    begin(needsNew);
    begin(request("/b"));
    run();
    EXPECT_EQ(m_ends, std::vector<HttpEnd>(3, HttpEnd::Complete));
    EXPECT_EQ(m_order, (std::vector<std::size_t>{0, 1, 2}));
    EXPECT_EQ(m_server.connections(), 2U);
    EXPECT_EQ(m_gate.m_waiting, 0);
}

/// Guards against calls that may run once and find the share used up by connections that are too
/// old for them.
TEST_F(ConnectionGateTest, CallsNeedFreshConnections_LastConnectionMakesRoomInTime)
{
    constexpr framework::Milliseconds Fresh{30};
    HttpRequest needsFresh = request();
    needsFresh.maxIdleBefore = Fresh;
    EXPECT_EQ(fetch(needsFresh), HttpEnd::Complete);
    EXPECT_EQ(m_gate.m_idle, 1);
    const auto timer = m_loop->callAfter(Fresh * 3, [this] { m_loop->stop(); });
    run();
    EXPECT_EQ(m_gate.m_idle, 0);
    m_gate.m_limit = 2;
    EXPECT_EQ(fetch(needsFresh), HttpEnd::Complete);
    const auto later = m_loop->callAfter(Fresh * 3, [this] { m_loop->stop(); });
    run();
    EXPECT_EQ(m_gate.m_idle, 1) << "another one may be opened";
}

/// Guards against a share that has fallen and is exceeded for as long as there is traffic.
TEST_F(ConnectionGateTest, LimitFalls_ConnectionIsClosedAfterItsCall)
{
    m_gate.m_limit = 2;
    begin(request());
    begin(request());
    m_gate.m_limit = 1;
    run();
    EXPECT_EQ(m_gate.m_inUse + m_gate.m_idle, 1);
}

/// A server over its cap accepts and resets. What was written by then may have run; a call that
/// watches the connection first knows that nothing has.
TEST_F(ConnectionGateTest, ServerResetsNewConnection_IsToldApartFromAFailure)
{
    m_server.onAccept([](auto &connection) { ScriptedServer::reset(connection); });
    const HttpEnd end = fetch(request());
    EXPECT_TRUE(end == HttpEnd::RejectedAfterSend || end == HttpEnd::Rejected)
        << "depends on whether the reset comes before the request is written";
    HttpRequest watching = request();
    watching.acceptanceWait = framework::Milliseconds(50);
    EXPECT_EQ(fetch(watching), HttpEnd::Rejected);
    EXPECT_EQ(m_server.connection(1).received, "");
    EXPECT_EQ(m_gate.m_rejected, 2);
    EXPECT_EQ(m_gate.m_inUse, 0);
}

/// The server has read the request before it resets: it may have acted.
TEST_F(ConnectionGateTest, ServerResetsNewConnectionAfterReading_CallMayHaveRun)
{
    m_script = [](auto &connection) { ScriptedServer::reset(connection); };
    EXPECT_EQ(fetch(request()), HttpEnd::RejectedAfterSend);
    EXPECT_EQ(m_gate.m_rejected, 1);
}

/// Guards against a full server that is taken for a crashed one, whose prompt is blamed.
TEST_F(ConnectionGateTest, ServerResetsProbe_IsListening)
{
    m_server.onAccept([](auto &connection) { ScriptedServer::reset(connection); });
    std::optional<ProbeResult> result;
    const auto probe =
        m_client->probe(m_server.endpoint(), GenerousTimeout, [&](ProbeResult received) {
            result = received;
            m_loop->stop();
        });
    run();
    EXPECT_EQ(result, ProbeResult::Listening);
    EXPECT_EQ(m_gate.m_inUse, 0);
}

/// Guards against a crash of the server during a call that is taken for a full server.
TEST_F(ConnectionGateTest, ServerResetsUsedConnectionOrLate_IsAFailure)
{
    EXPECT_EQ(fetch(request()), HttpEnd::Complete);
    m_script = [](auto &connection) { ScriptedServer::reset(connection); };
    EXPECT_EQ(fetch(request()), HttpEnd::Broken);
    std::unique_ptr<framework::ITimer> later;
    m_script = [&](auto &connection) {
        later = m_loop->callAfter(framework::Milliseconds(150),
                                  [&connection] { ScriptedServer::reset(connection); });
    };
    EXPECT_EQ(fetch(request()), HttpEnd::Broken);
    EXPECT_EQ(m_gate.m_rejected, 0);
}

/// Guards against a watched connection that is never written to.
TEST_F(ConnectionGateTest, ServerAnswersAfterWatching_CallIsServed)
{
    HttpRequest watching = request();
    watching.acceptanceWait = framework::Milliseconds(5);
    EXPECT_EQ(fetch(watching), HttpEnd::Complete);
    EXPECT_EQ(fetch(watching), HttpEnd::Complete);
    EXPECT_EQ(m_server.connections(), 1U);
}
