#include "operatortool/ioperatorclient.h"

#include "configuration/configurationmodule.h"
#include "configuration/iconfigurationreplica.h"
#include "configuration/types/operatorchange.h"
#include "control/testing/fakeoperatorservice.h"
#include "control/testing/fakerevisionreports.h"
#include "framework/frameworkmodule.h"
#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "frontend/operatorapi.h"
#include "http/httpmodule.h"
#include "http/ihttpclient.h"
#include "http/ihttpexchange.h"
#include "http/ihttpserver.h"
#include "operatortool/operatortoolmodule.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <sys/wait.h>

using namespace lavendertally;
using namespace lavendertally::operatortool;

namespace {

constexpr framework::Milliseconds GenerousTimeout{10000};
constexpr framework::Milliseconds ShortTimeout{50};

} // namespace

/// The tool's client against the real operator API, or against a server that misbehaves.
class OperatorClientTest : public testing::Test
{
protected:
    OperatorClientTest()
    {
        m_server->setHandler([this](const std::shared_ptr<http::IHttpExchange> &exchange) {
            m_handler ? m_handler(exchange) : void(m_api.handle(exchange));
        });
        m_endpoint = m_server->listen({"127.0.0.1", 0}).value();
        m_client = OperatorToolModule::makeClient(*m_http, m_endpoint);
    }

    ChangeOutcome submit(const std::string &operation, const configuration::ApplyFiles &change,
                         framework::Milliseconds timeout = GenerousTimeout)
    {
        ChangeOutcome result;
        m_client->submit({framework::OperationId(operation), change}, timeout,
                         [&](const ChangeOutcome &outcome) {
                             result = outcome;
                             m_loop->stop();
                         });
        m_loop->run();
        return result;
    }

    std::unique_ptr<framework::IEventLoop> m_loop = framework::FrameworkModule::makeEventLoop();
    std::unique_ptr<http::IHttpServer> m_server = http::HttpModule::makeServer(*m_loop, {});
    std::unique_ptr<http::IHttpClient> m_http = http::HttpModule::makeClient(*m_loop);
    std::unique_ptr<configuration::IConfigurationReplica> m_replica =
        configuration::ConfigurationModule::makeReplica();
    control::FakeOperatorService m_operators{*m_replica};
    control::FakeRevisionReports m_reports;
    frontend::OperatorApi m_api{*m_replica, m_operators, m_reports};
    std::function<void(std::shared_ptr<http::IHttpExchange>)> m_handler;
    framework::Endpoint m_endpoint;
    std::unique_ptr<IOperatorClient> m_client;
    const configuration::ApplyFiles m_change{framework::LogOffset(0),
                                             {{"a.yaml", "availability_zones: [z1]\n"}}};
};

TEST_F(OperatorClientTest, OutcomesOfTheOperatorApiAreRead)
{
    EXPECT_EQ(submit("op1", m_change).status, ChangeStatus::Applied);
    const ChangeOutcome loser = submit("op2", m_change);
    EXPECT_EQ(loser.status, ChangeStatus::Void);
    EXPECT_EQ(loser.offset, framework::LogOffset(1));
    EXPECT_NE(loser.explanation.find("conflict"), std::string::npos);
    const ChangeOutcome refused = submit("op3", {framework::LogOffset(0), {{"a.yaml", "x: 1"}}});
    EXPECT_EQ(refused.status, ChangeStatus::Refused);
    EXPECT_EQ(refused.diagnostics.entries.at(0).key, "x");
    m_operators.m_error = control::OperatorError::Unavailable;
    EXPECT_EQ(submit("op4", m_change).status, ChangeStatus::NotApplied);
    m_operators.m_error = control::OperatorError::OutcomeUnknown;
    EXPECT_EQ(submit("op5", m_change).status, ChangeStatus::Unknown);
}

TEST_F(OperatorClientTest, MissingOrStrangeAnswersLeaveTheOutcomeUnknown)
{
    const std::pair<int, std::string> answers[] = {
        {200, ""}, {200, "{}"}, {200, R"({"offset":"x"})"}, {503, "busy"}, {500, "{}"}, {404, ""}};
    for (const auto &[status, body] : answers) {
        m_handler = [&](const auto &exchange) { exchange->reply(status, "text/plain", body); };
        EXPECT_EQ(submit("op", m_change).status, ChangeStatus::Unknown) << status << body;
    }
    m_handler = [](const auto &exchange) { exchange->abort(); };
    EXPECT_EQ(submit("op", m_change).status, ChangeStatus::Unknown);
    std::shared_ptr<http::IHttpExchange> kept;
    m_handler = [&](const auto &exchange) { kept = exchange; };
    EXPECT_EQ(submit("op", m_change, ShortTimeout).status, ChangeStatus::Unknown);
    kept->reply(200, "text/plain", "late");
}

TEST_F(OperatorClientTest, RefusedConnectionMeansNotApplied)
{
    m_server->stopListening();
    EXPECT_EQ(submit("op", m_change).status, ChangeStatus::NotApplied);
}

TEST_F(OperatorClientTest, RevisionIsRead)
{
    submit("op1", m_change);
    framework::LogOffset revision;
    m_client->readRevision(GenerousTimeout, [&](framework::Result<framework::LogOffset> result) {
        revision = result.value();
        m_loop->stop();
    });
    m_loop->run();
    EXPECT_EQ(revision, framework::LogOffset(1));
}

TEST(OperatorProgram, ExitStatusTellsUsageBadDataAndUnavailable)
{
    const std::string program = std::string(LAVENDERTALLY_BINARY_DIR) + "/lavendertallyctl ";
    const std::string samples = std::string(LAVENDERTALLY_SOURCE_DIR) + "/samples/caddo/";
    const std::pair<std::string, int> cases[] = {
        {"--help", 0},
        {"--version", 0},
        {"check " + samples + "*.yaml", 0},
        {"check " + samples + "pipelines.yaml", 65},
        {"nonsense", 64},
        // Port 1 answers to nobody.
        {"--entry 127.0.0.1:1 status", 69},
    };
    for (const auto &[arguments, expected] : cases) {
        const int status = std::system((program + arguments + " >/dev/null 2>&1").c_str());
        EXPECT_EQ(WEXITSTATUS(status), expected) << arguments;
    }
}
