#include "frontend/operatorapi.h"

#include "configuration/configurationmodule.h"
#include "configuration/iconfigurationreplica.h"
#include "control/testing/fakeoperatorservice.h"
#include "control/testing/fakerevisionreports.h"
#include "control/types/operatorerror.h"
#include "framework/frameworkmodule.h"
#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "http/httpmodule.h"
#include "http/ihttpcall.h"
#include "http/ihttpclient.h"
#include "http/ihttpexchange.h"
#include "http/ihttpserver.h"
#include "http/types/httprequest.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <vector>

using namespace lavendertally;
using namespace lavendertally::frontend;

namespace {

constexpr framework::Milliseconds RequestTimeout{10000};

const std::string ZoneFile = "availability_zones: [z1]\n";

std::string applyBody(const std::string &operation, const std::string &text, int base = 0)
{
    const nlohmann::json body = {{"type", "apply_files"},
                                 {"operation", operation},
                                 {"base", base},
                                 {"files", {{"a.yaml", text}}}};
    return body.dump();
}

} // namespace

class OperatorApiTest : public testing::Test
{
protected:
    OperatorApiTest()
    {
        m_server->setHandler([this](const std::shared_ptr<http::IHttpExchange> &exchange) {
            if (!m_api.handle(exchange)) {
                exchange->reply(418, "text/plain", "{}");
            }
        });
        m_endpoint = m_server->listen({"127.0.0.1", 0}).value();
    }

    /// \return body of the response; its status is in m_status
    nlohmann::json call(http::HttpMethod method, const std::string &target,
                        const std::string &body = "")
    {
        http::HttpRequest request;
        request.endpoint = m_endpoint;
        request.method = method;
        request.target = target;
        request.body = body;
        request.timeout = RequestTimeout;
        http::HttpResponse response;
        const auto handle = m_client->fetch(request, [&](http::HttpResponse received) {
            response = std::move(received);
            m_loop->stop();
        });
        m_loop->run();
        m_status = response.status;
        return nlohmann::json::parse(response.body, nullptr, false);
    }

    nlohmann::json post(const std::string &body)
    {
        return call(http::HttpMethod::Post, "/v1/operator/changes?timeout_ms=700", body);
    }

    std::unique_ptr<framework::IEventLoop> m_loop = framework::FrameworkModule::makeEventLoop();
    std::unique_ptr<http::IHttpServer> m_server = http::HttpModule::makeServer(*m_loop, {});
    std::unique_ptr<http::IHttpClient> m_client = http::HttpModule::makeClient(*m_loop);
    std::unique_ptr<configuration::IConfigurationReplica> m_replica =
        configuration::ConfigurationModule::makeReplica();
    control::FakeOperatorService m_operators{*m_replica};
    control::FakeRevisionReports m_reports;
    OperatorApi m_api{*m_replica, m_operators, m_reports};
    framework::Endpoint m_endpoint;
    int m_status = 0;
};

TEST_F(OperatorApiTest, ChangeAccepted_ReplyHasOffsetAndRevisionAdvances)
{
    const auto json = post(applyBody("op1", ZoneFile));
    EXPECT_EQ(m_status, 200);
    EXPECT_EQ(json["operation"], "op1");
    EXPECT_EQ(json["accepted"], true);
    EXPECT_EQ(json["offset"], 0);
    EXPECT_EQ(m_operators.m_timeout, framework::Milliseconds(700));
    EXPECT_EQ(call(http::HttpMethod::Get, "/v1/operator/revision")["revision"], 1);
}

TEST_F(OperatorApiTest, ConflictingChange_IsRefusedWithExplanation)
{
    post(applyBody("op1", ZoneFile));
    const auto json = post(applyBody("op2", ZoneFile));
    EXPECT_EQ(m_status, 409);
    EXPECT_EQ(json["error"]["code"], "void");
    EXPECT_NE(json["error"]["message"].get<std::string>().find("conflict"), std::string::npos);
}

TEST_F(OperatorApiTest, OperationRepeatedWithKnownVerdict_IsNotSubmittedAgain)
{
    post(applyBody("op1", ZoneFile));
    m_operators.m_error = control::OperatorError::Unavailable;
    EXPECT_EQ(post(applyBody("op1", ZoneFile))["accepted"], true);
    EXPECT_EQ(m_operators.m_submitted, 1);
}

TEST_F(OperatorApiTest, LogUnavailableOrOutcomeUnknown_CodeAndStatusDiffer)
{
    m_operators.m_error = control::OperatorError::Unavailable;
    EXPECT_EQ(post(applyBody("op1", ZoneFile))["error"]["code"], "unavailable");
    EXPECT_EQ(m_status, 503);
    m_operators.m_error = control::OperatorError::OutcomeUnknown;
    const auto json = post(applyBody("op1", ZoneFile));
    EXPECT_EQ(json["error"]["code"], "unknown");
    EXPECT_NE(json["error"]["message"].get<std::string>().find("op1"), std::string::npos);
    EXPECT_EQ(m_status, 504);
}

TEST_F(OperatorApiTest, InvalidFile_IsRefusedWithoutSubmit)
{
    const auto json = post(applyBody("op1", "teams: [{name: t}]\nzones: []\n"));
    EXPECT_EQ(m_status, 400);
    const auto &diagnostic = json["error"]["diagnostics"].at(0);
    EXPECT_EQ(diagnostic["file"], "a.yaml");
    EXPECT_EQ(diagnostic["line"], 2);
    EXPECT_EQ(diagnostic["column"], 1);
    EXPECT_EQ(diagnostic["key"], "zones");
    EXPECT_EQ(m_operators.m_submitted, 0);
}

TEST_F(OperatorApiTest, MalformedChangeOrTimeout_IsRefusedWithoutSubmit)
{
    const std::string bodies[] = {"",
                                  "{",
                                  "[]",
                                  "\xff\xfe",
                                  R"({"type":"zone"})",
                                  R"({"type":"snapshot","revision":0,"state":"{}"})"};
    for (const std::string &body : bodies) {
        EXPECT_EQ(post(body)["error"]["code"], "invalid_change") << body;
        EXPECT_EQ(m_status, 400);
    }
    for (const std::string timeout : {"0", "-1", "60001", "1s", ""}) {
        call(http::HttpMethod::Post, "/v1/operator/changes?timeout_ms=" + timeout,
             applyBody("op1", ZoneFile));
        EXPECT_EQ(m_status, 400) << timeout;
    }
    EXPECT_EQ(m_operators.m_submitted, 0);
}

TEST_F(OperatorApiTest, StatusRequested_ListsZonesAndHostsOutAndDaemonRevisions)
{
    post(applyBody("op1", ZoneFile));
    post(R"({"type":"zone","operation":"op2","zone":"z1","out":true})");
    post(R"({"type":"host","operation":"op3","host":"h7","out":true})");
    const auto json = call(http::HttpMethod::Get, "/v1/operator/status");
    EXPECT_EQ(m_status, 200);
    EXPECT_EQ(json["revision"], 3);
    EXPECT_EQ(json["zones_out"], nlohmann::json({"z1"}));
    EXPECT_EQ(json["hosts_out"], nlohmann::json({"h7"}));
    const auto &daemon = json["daemons"].at(0);
    EXPECT_EQ(daemon["daemon"], "d1");
    EXPECT_EQ(daemon["role"], "host");
    EXPECT_EQ(daemon["revision"], 5);
    EXPECT_EQ(daemon["age_ms"], 40);
}

TEST_F(OperatorApiTest, ForeignPath_IsNotHandledAndUnknownResourceOrMethodIsRefused)
{
    call(http::HttpMethod::Get, "/metrics");
    EXPECT_EQ(m_status, 418);
    call(http::HttpMethod::Get, "/v1/operator/nothing");
    EXPECT_EQ(m_status, 404);
    call(http::HttpMethod::Get, "/v1/operator/changes");
    EXPECT_EQ(m_status, 405);
    call(http::HttpMethod::Post, "/v1/operator/status");
    EXPECT_EQ(m_status, 405);
}
