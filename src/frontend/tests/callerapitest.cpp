#include "framework/frameworkmodule.h"
#include "framework/hash.h"
#include "framework/ieventloop.h"
#include "framework/imetrics.h"
#include "framework/itimer.h"
#include "frontend/frontendmodule.h"
#include "frontend/ihttpapi.h"
#include "http/httpmodule.h"
#include "http/ihttpcall.h"
#include "http/ihttpclient.h"
#include "http/ihttpserver.h"
#include "http/types/httprequest.h"
#include "pipeline/irequestobserver.h"
#include "pipeline/irequestservice.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <string>
#include <utility>
#include <vector>

using namespace lavendertally;
using namespace lavendertally::frontend;

namespace {

constexpr framework::Milliseconds RequestTimeout{10000};

/// Request service that answers every request, later, with the answer that the test has set.
class FakeRequestService final : public pipeline::IRequestService
{
public:
    explicit FakeRequestService(framework::IEventLoop &loop) : m_loop(loop) { }

    Ticket start(pipeline::CallerRequest request, pipeline::IRequestObserver &observer) override
    {
        m_requests.push_back(std::move(request));
        m_timer = m_loop.callAfter(framework::Milliseconds(0),
                                   [this, &observer] { observer.onAnswer(m_answer); });
        return m_requests.size();
    }
    void abandon(Ticket /*ticket*/) override { m_timer.reset(); }
    void beginDrain() override { }
    std::set<framework::HostId> awaitedHosts(framework::TimePoint /*since*/) const override
    {
        return {};
    }
    void endCallsTo(const framework::HostId & /*host*/) override { }
    std::size_t activeRequests() const override { return 0; }

    framework::IEventLoop &m_loop;
    std::unique_ptr<framework::ITimer> m_timer;
    std::vector<pipeline::CallerRequest> m_requests;
    pipeline::CallerAnswer m_answer;
};

std::string headerOf(const http::HttpResponse &response, const std::string &name)
{
    for (const auto &[field, value] : response.headers) {
        if (field == name) {
            return value;
        }
    }
    return {};
}

} // namespace

class CallerApiTest : public testing::Test
{
protected:
    CallerApiTest()
    {
        m_service.m_answer.outcome = pipeline::RequestOutcome::Done;
        m_server->setHandler([this](const std::shared_ptr<http::IHttpExchange> &exchange) {
            m_api->handle(exchange);
        });
        m_endpoint = m_server->listen({"127.0.0.1", 0}).value();
    }

    http::HttpResponse post(const std::string &body)
    {
        http::HttpRequest request;
        request.endpoint = m_endpoint;
        request.method = http::HttpMethod::Post;
        request.target = "/v1/requests";
        request.body = body;
        request.timeout = RequestTimeout;
        http::HttpResponse received;
        const auto handle = m_client->fetch(request, [&](http::HttpResponse response) {
            received = std::move(response);
            m_loop->stop();
        });
        m_loop->run();
        return received;
    }

    http::HttpResponse postWith(const nlohmann::json &fields = nlohmann::json::object())
    {
        nlohmann::json body = {
            {"request_id", "r"}, {"team", "t"}, {"pipeline", "p"}, {"input", {{"text", "x"}}}};
        body.update(fields);
        return post(body.dump());
    }

    std::unique_ptr<framework::IEventLoop> m_loop = framework::FrameworkModule::makeEventLoop();
    std::unique_ptr<framework::IMetrics> m_metrics = framework::FrameworkModule::makeMetrics();
    FakeRequestService m_service{*m_loop};
    std::unique_ptr<IHttpApi> m_api = FrontendModule::makeCallerApi(m_service, *m_metrics);
    std::unique_ptr<http::IHttpServer> m_server = http::HttpModule::makeServer(*m_loop, {});
    std::unique_ptr<http::IHttpClient> m_client = http::HttpModule::makeClient(*m_loop);
    framework::Endpoint m_endpoint;
};

TEST_F(CallerApiTest, PromptPartsNamed_RequestHasTheirHashes)
{
    EXPECT_EQ(postWith({{"prompt_parts", {"a", std::string(128, 'b')}}}).status, 200);
    ASSERT_EQ(m_service.m_requests.size(), 1U);
    const std::vector<framework::PromptPartId> expected = {
        framework::PromptPartId(framework::stableHash("a")),
        framework::PromptPartId(framework::stableHash(std::string(128, 'b')))};
    EXPECT_EQ(m_service.m_requests[0].promptParts, expected);
}

TEST_F(CallerApiTest, PromptPartsAbsent_WholeInputIsOnePart)
{
    postWith();
    postWith();
    postWith({{"input", "y"}});
    ASSERT_EQ(m_service.m_requests.size(), 3U);
    ASSERT_EQ(m_service.m_requests[0].promptParts.size(), 1U);
    EXPECT_EQ(m_service.m_requests[0].promptParts, m_service.m_requests[1].promptParts);
    EXPECT_NE(m_service.m_requests[0].promptParts, m_service.m_requests[2].promptParts);
}

TEST_F(CallerApiTest, PromptPartsEmptyOrMany_AreTaken)
{
    EXPECT_EQ(postWith({{"prompt_parts", nlohmann::json::array()}}).status, 200);
    EXPECT_EQ(postWith({{"prompt_parts", std::vector<std::string>(64, "a")}}).status, 200);
    ASSERT_EQ(m_service.m_requests.size(), 2U);
    EXPECT_TRUE(m_service.m_requests[0].promptParts.empty());
    EXPECT_EQ(m_service.m_requests[1].promptParts.size(), 64U);
}

TEST_F(CallerApiTest, PromptPartsOfWrongTypeOrSize_RequestIsInvalid)
{
    const std::vector<nlohmann::json> wrong = {"a",
                                               1,
                                               nullptr,
                                               nlohmann::json::object(),
                                               nlohmann::json::array({1}),
                                               nlohmann::json::array({"a", nullptr}),
                                               nlohmann::json::array({""}),
                                               nlohmann::json::array({std::string(129, 'a')}),
                                               nlohmann::json(std::vector<std::string>(65, "a"))};
    for (const nlohmann::json &value : wrong) {
        const http::HttpResponse response = postWith({{"prompt_parts", value}});
        EXPECT_EQ(response.status, 400) << value;
        EXPECT_EQ(nlohmann::json::parse(response.body)["reason"], "invalid_request") << value;
    }
    EXPECT_TRUE(m_service.m_requests.empty());
}

TEST_F(CallerApiTest, PromptIsQuarantined_AnswerSaysWhenToAskAgain)
{
    m_service.m_answer.outcome = pipeline::RequestOutcome::NotRun;
    m_service.m_answer.reason = protocol::RefusalReason::PromptQuarantined;
    m_service.m_answer.retryAfter = framework::Milliseconds(90001);
    const http::HttpResponse response = postWith();
    EXPECT_EQ(response.status, 503);
    EXPECT_EQ(headerOf(response, "Retry-After"), "91");
    EXPECT_EQ(nlohmann::json::parse(response.body)["reason"], "prompt_quarantined");
}

TEST_F(CallerApiTest, RefusedWithoutKnownTime_RetryAfterIsOneSecond)
{
    m_service.m_answer.outcome = pipeline::RequestOutcome::NotRun;
    m_service.m_answer.reason = protocol::RefusalReason::Full;
    EXPECT_EQ(headerOf(postWith(), "Retry-After"), "1");
}
