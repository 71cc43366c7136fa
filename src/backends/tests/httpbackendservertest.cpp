#include "backends/internal/httpbackendserver.h"
#include "backends/backendsmodule.h"
#include "backends/ibackendcallhandle.h"
#include "backends/ibackendobserver.h"
#include "backends/ibackendserver.h"
#include "backends/internal/encodeformat.h"
#include "backends/types/backendcall.h"
#include "backends/types/backenderror.h"
#include "backends/types/backendresult.h"
#include "framework/frameworkmodule.h"
#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "http/httpmodule.h"
#include "http/ihttpclient.h"
#include "http/tests/floodingserver.h"
#include "http/tests/scriptedserver.h"

#include <gtest/gtest.h>

#include <vector>

using namespace lavendertally;
using namespace lavendertally::backends;

namespace {

constexpr framework::Milliseconds GenerousTimeout{10000};

} // namespace

class HttpBackendServerTest : public testing::Test, public IBackendObserver
{
protected:
    HttpBackendServerTest()
        : m_loop(framework::FrameworkModule::makeEventLoop()),
          m_scripted(*m_loop,
                     [this](http::ScriptedServer::Connection &connection) {
                         http::ScriptedServer::send(connection, m_answers.at(m_calls));
                         ++m_calls;
                     }),
          m_client(http::HttpModule::makeClient(*m_loop)),
          m_server(*m_client, m_scripted.endpoint(), std::make_unique<EncodeFormat>()),
          m_guard(m_loop->callAfter(GenerousTimeout, [this] { m_loop->stop(); }))
    { }

    void call()
    {
        BackendCall call;
        call.payload = R"({"input":{"text":"a"}})";
        call.budget = GenerousTimeout;
        m_error.reset();
        const auto handle = m_server.call(call, *this);
        ASSERT_TRUE(handle);
        m_loop->run();
    }

    void onAnswerHead(std::optional<framework::RequestRate> rateLimit) override
    {
        m_rateLimit = rateLimit;
    }
    void onChunk(const std::string & /*text*/, framework::TokenCount /*tokens*/) override { }
    void onDone(const BackendResult & /*result*/) override { m_loop->stop(); }
    void onFailed(BackendError error, const std::string & /*detail*/) override
    {
        m_error = error;
        m_loop->stop();
    }

    std::unique_ptr<framework::IEventLoop> m_loop;
    std::vector<std::string> m_answers;
    std::size_t m_calls = 0;
    http::ScriptedServer m_scripted;
    std::unique_ptr<http::IHttpClient> m_client;
    HttpBackendServer m_server;
    std::unique_ptr<framework::ITimer> m_guard;
    std::optional<BackendError> m_error;
    std::optional<framework::RequestRate> m_rateLimit;
};

TEST_F(HttpBackendServerTest, BackendHasRefused_NextCallUsesAnotherConnection)
{
    const std::string refusal = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    m_answers = {refusal, refusal};
    call();
    EXPECT_EQ(m_error, BackendError::NotRun);
    call();
    EXPECT_EQ(m_scripted.connections(), 2U);
}

TEST_F(HttpBackendServerTest, BackendNamesRateLimit_ItIsHandedOn)
{
    m_answers = {"HTTP/1.1 503 Busy\r\nServer-Limit: 1.5\r\nContent-Length: 0\r\n\r\n",
                 "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"};
    call();
    EXPECT_EQ(m_rateLimit, framework::RequestRate(1500));
    call();
    EXPECT_FALSE(m_rateLimit);
}

// Guards against an answer without end that is kept until the time of the call is up.
TEST_F(HttpBackendServerTest, AnswerNeverEnds_CallFailsWithinABound)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n";
    http::FloodingServer endless(*m_loop, [&head](const std::string & /*request*/) {
        return http::FloodingServer::Answer{head + std::string(1000, ' '), true, head.size(), {}};
    });
    HttpBackendServer server(*m_client, endless.endpoint(), std::make_unique<EncodeFormat>());
    BackendCall call;
    call.payload = R"({"input":{"text":"a"}})";
    call.budget = GenerousTimeout;
    const auto handle = server.call(call, *this);
    ASSERT_TRUE(handle);
    m_loop->run();
    EXPECT_EQ(m_error, BackendError::Unknown);
    constexpr std::size_t Bound = 64 * 1024 * 1024;
    EXPECT_LT(endless.taken(), Bound);
}
