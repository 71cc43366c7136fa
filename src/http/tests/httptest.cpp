#include "framework/frameworkmodule.h"
#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "http/httpmodule.h"
#include "http/ihttpcall.h"
#include "http/ihttpclient.h"
#include "http/ihttpexchange.h"
#include "http/ihttpresponseobserver.h"
#include "http/ihttpserver.h"
#include "http/types/httprequest.h"

#include <gtest/gtest.h>

using namespace lavendertally;
using namespace lavendertally::http;

namespace {

constexpr framework::Milliseconds GenerousTimeout{10000};

/// Collects a streamed response and stops the loop at its end.
class RecordingObserver final : public IHttpResponseObserver
{
public:
    explicit RecordingObserver(framework::IEventLoop &loop) : m_loop(loop) { }

    void onData(int /*status*/, std::string_view data) override { m_body.append(data); }
    void onEnd(HttpEnd end, int status) override
    {
        m_end = end;
        m_status = status;
        m_loop.stop();
    }

    std::string m_body;
    HttpEnd m_end = HttpEnd::NotSent;
    int m_status = -1;

private:
    framework::IEventLoop &m_loop;
};

} // namespace

class HttpTest : public testing::Test
{
protected:
    HttpTest()
        : m_loop(framework::FrameworkModule::makeEventLoop()),
          m_server(HttpModule::makeServer(*m_loop, HttpLimits{})),
          m_client(HttpModule::makeClient(*m_loop)),
          m_guard(m_loop->callAfter(GenerousTimeout, [this] { m_loop->stop(); }))
    {
        m_endpoint = m_server->listen({"127.0.0.1", 0}).value();
    }

    HttpRequest request(framework::Milliseconds timeout = GenerousTimeout) const
    {
        HttpRequest result;
        result.endpoint = m_endpoint;
        result.method = HttpMethod::Post;
        result.target = "/path?key=a%20b";
        result.headers = {{"X-Test", "yes"}};
        result.body = "hello";
        result.timeout = timeout;
        return result;
    }

    HttpResponse fetch(const HttpRequest &what)
    {
        HttpResponse response;
        const auto call = m_client->fetch(what, [&](HttpResponse received) {
            response = std::move(received);
            m_loop->stop();
        });
        m_loop->run();
        return response;
    }

    std::unique_ptr<framework::IEventLoop> m_loop;
    std::unique_ptr<IHttpServer> m_server;
    std::unique_ptr<IHttpClient> m_client;
    std::unique_ptr<framework::ITimer> m_guard;
    std::unique_ptr<framework::ITimer> m_later;
    framework::Endpoint m_endpoint;
};

TEST_F(HttpTest, RequestReachesHandlerAndReplyComesBack)
{
    m_server->setHandler([](const std::shared_ptr<IHttpExchange> &exchange) {
        const std::string body = exchange->path() + "|" + exchange->query("key").value_or("?") + "|"
            + exchange->header("x-test").value_or("?") + "|" + exchange->body();
        exchange->reply(201, "text/plain", body);
    });
    for (int i = 0; i < 3; ++i) {
        const HttpResponse response = fetch(request());
        EXPECT_EQ(response.end, HttpEnd::Complete);
        EXPECT_EQ(response.status, 201);
        EXPECT_EQ(response.body, "/path|a b|yes|hello");
    }
    EXPECT_EQ(m_server->unfinishedExchanges(), 0U);
}

TEST_F(HttpTest, StreamedPartsArriveInOrder)
{
    m_server->setHandler([](const std::shared_ptr<IHttpExchange> &exchange) {
        exchange->startStream(200, "text/plain", {});
        exchange->sendPart("a");
        exchange->sendPart("b");
        exchange->endStream();
    });
    RecordingObserver observer(*m_loop);
    const auto call = m_client->send(request(), observer);
    m_loop->run();
    EXPECT_EQ(observer.m_end, HttpEnd::Complete);
    EXPECT_EQ(observer.m_body, "ab");
}

// Guards against a request that is given up before its connection stands being taken for one that
// may have run.
TEST_F(HttpTest, CallHasSentNothingUntilItsConnectionStands)
{
    std::unique_ptr<IHttpCall> call;
    bool hasSentAtServer = false;
    m_server->setHandler([&](const std::shared_ptr<IHttpExchange> &exchange) {
        hasSentAtServer = call->hasSent();
        exchange->reply(200, "text/plain", "");
    });
    RecordingObserver observer(*m_loop);
    call = m_client->send(request(), observer);
    EXPECT_FALSE(call->hasSent());
    m_loop->run();
    EXPECT_TRUE(hasSentAtServer);
}

TEST_F(HttpTest, CutStreamEndsAsBroken)
{
    m_server->setHandler([this](const std::shared_ptr<IHttpExchange> &exchange) {
        exchange->startStream(200, "text/plain", {});
        exchange->sendPart("a");
        m_later = m_loop->callAfter(framework::Milliseconds(20), [exchange] { exchange->abort(); });
    });
    RecordingObserver observer(*m_loop);
    const auto call = m_client->send(request(), observer);
    m_loop->run();
    EXPECT_EQ(observer.m_end, HttpEnd::Broken);
    EXPECT_EQ(observer.m_body, "a");
    m_later.reset();
}

TEST_F(HttpTest, BrokenCallMayBeDestroyedByItsCallback)
{
    m_server->setHandler([this](const std::shared_ptr<IHttpExchange> &exchange) {
        m_later = m_loop->callAfter(framework::Milliseconds(0), [exchange] { exchange->abort(); });
    });
    HttpEnd end = HttpEnd::Complete;
    std::unique_ptr<IHttpCall> call;
    call = m_client->fetch(request(), [&](const HttpResponse &response) {
        end = response.end;
        call.reset();
        m_loop->stop();
    });
    m_loop->run();
    EXPECT_EQ(end, HttpEnd::Broken);
    m_later.reset();
}

TEST_F(HttpTest, RefusedConnectionEndsAsNotSent)
{
    m_server->stopListening();
    EXPECT_EQ(fetch(request()).end, HttpEnd::NotSent);
}

TEST_F(HttpTest, SilentServerEndsAsTimedOut)
{
    std::shared_ptr<IHttpExchange> kept;
    m_server->setHandler(
        [&](std::shared_ptr<IHttpExchange> exchange) { kept = std::move(exchange); });
    EXPECT_EQ(fetch(request(framework::Milliseconds(50))).end, HttpEnd::TimedOut);
    kept->reply(200, "text/plain", "late");
}

TEST_F(HttpTest, HandlerHearsThatTheCallerHungUp)
{
    bool hungUp = false;
    std::shared_ptr<IHttpExchange> kept;
    std::unique_ptr<IHttpCall> call;
    m_server->setHandler([&](std::shared_ptr<IHttpExchange> exchange) {
        kept = std::move(exchange);
        kept->onHangUp([&] {
            hungUp = true;
            m_loop->stop();
        });
        call.reset();
    });
    RecordingObserver observer(*m_loop);
    call = m_client->send(request(), observer);
    m_loop->run();
    EXPECT_TRUE(hungUp);
    EXPECT_EQ(m_server->unfinishedExchanges(), 1U);
    kept->abort();
    EXPECT_EQ(m_server->unfinishedExchanges(), 0U);
}

TEST_F(HttpTest, OversizedBodyIsRefusedAndServerGoesOn)
{
    m_server->setHandler([](const std::shared_ptr<IHttpExchange> &exchange) {
        exchange->reply(200, "text/plain", "ok");
    });
    HttpRequest large = request();
    large.body = std::string(9 * 1024 * 1024, 'x');
    const HttpResponse refused = fetch(large);
    EXPECT_NE(refused.status, 200);
    EXPECT_EQ(fetch(request()).status, 200);
}
