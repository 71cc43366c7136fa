#include "standins/modelenginestandin.h"
#include "standins/tests/standinfixture.h"

using namespace lavendertally;
using namespace lavendertally::standins;
using http::HttpEnd;

namespace {

nlohmann::json completion(int tokens, int priority = 1)
{
    return {{"prompt", "a b c"}, {"max_tokens", tokens}, {"stream", true}, {"priority", priority}};
}

} // namespace

class ModelEngineTest : public StandInFixture
{
protected:
    void start(const EngineOptions &options)
    {
        m_engine = std::make_unique<ModelEngineStandIn>(*m_loop, options);
        m_endpoint = m_engine->listen({"127.0.0.1", 0}).value();
    }

    std::unique_ptr<ModelEngineStandIn> m_engine;
    framework::Endpoint m_endpoint;
};

TEST_F(ModelEngineTest, StreamRepeatsThePromptAndEndsWithUsage)
{
    start({});
    const std::string body = call(m_endpoint, "/v1/completions", completion(4)).body;
    std::string text;
    for (std::size_t at = 0; (at = body.find("\"text\":\"", at)) != std::string::npos;) {
        at += 8;
        text += body.substr(at, body.find('"', at) - at);
    }
    EXPECT_EQ(text, "a b c a ");
    EXPECT_NE(body.find(R"("completion_tokens":4)"), std::string::npos);
    EXPECT_TRUE(body.ends_with("data: [DONE]\n\n"));
}

TEST_F(ModelEngineTest, DoubledAndReorderedStreamsSendOtherParts)
{
    start({});
    const std::string whole = call(m_endpoint, "/v1/completions", completion(4)).body;
    m_engine->setFault({FaultMode::Doubled, {}, std::nullopt, ""});
    EXPECT_EQ(call(m_endpoint, "/v1/completions", completion(4)).body.size(), 2 * whole.size());
    m_engine->setFault({FaultMode::Reordered, {}, std::nullopt, ""});
    const std::string reordered = call(m_endpoint, "/v1/completions", completion(4)).body;
    EXPECT_EQ(reordered.size(), whole.size());
    EXPECT_NE(reordered, whole);
}

TEST_F(ModelEngineTest, ColdEngineFallsOverWhenItGetsMoreThanItBears)
{
    EngineOptions options;
    options.coldStart.startsCold = true;
    options.coldStart.limit = 2;
    options.coldStart.recovery = framework::Milliseconds(200);
    start(options);
    for (int i = 0; i < 3; ++i) {
        begin(m_endpoint, "/v1/completions", completion(50));
    }
    waitForEnds(3);
    for (const auto &response : m_responses) {
        EXPECT_EQ(response.end, HttpEnd::Broken);
    }
    const auto state = stateOf(m_endpoint);
    EXPECT_EQ(state["overloads"], 1);
    EXPECT_EQ(state["max_running_cold"], 3);
    EXPECT_EQ(state["incarnation"], 2);
    EXPECT_EQ(state["ready"], false);
    EXPECT_EQ(call(m_endpoint, "/v1/completions", completion(1)).status, 503);
}

TEST_F(ModelEngineTest, ColdEngineBearsItsLimitAndWarmsUpByCompletedCalls)
{
    EngineOptions options;
    options.coldStart.startsCold = true;
    options.coldStart.warmAfterCalls = 4;
    start(options);
    for (int i = 0; i < 2; ++i) {
        begin(m_endpoint, "/v1/completions", completion(1));
        begin(m_endpoint, "/v1/completions", completion(1));
        waitForEnds(2 * (i + 1));
    }
    const auto state = stateOf(m_endpoint);
    EXPECT_EQ(state["cold"], false);
    EXPECT_EQ(state["overloads"], 0);
}

TEST_F(ModelEngineTest, HangUpCancelsTheCall)
{
    start({});
    const std::size_t cancelled = begin(m_endpoint, "/v1/completions", completion(100000));
    begin(m_endpoint, "/v1/completions", completion(1));
    waitForEnds(1);
    hangUp(cancelled);
    // The engine sees the hang-up while it serves the next call.
    call(m_endpoint, "/v1/completions", completion(1));
    const auto state = stateOf(m_endpoint);
    EXPECT_EQ(state["cancelled"], 1);
    EXPECT_EQ(state["running"], 0);
}

TEST_F(ModelEngineTest, UrgentCallOvertakesWaitingOnes)
{
    EngineOptions options;
    options.maxBatch = 1;
    start(options);
    begin(m_endpoint, "/v1/completions", completion(20, 0));
    const std::size_t low = begin(m_endpoint, "/v1/completions", completion(1, 2));
    const std::size_t urgent = begin(m_endpoint, "/v1/completions", completion(1, 0));
    waitForEnds(3);
    const auto ended = [&](std::size_t index) {
        return std::find(m_ended.begin(), m_ended.end(), index);
    };
    EXPECT_LT(ended(urgent), ended(low));
}

TEST_F(ModelEngineTest, RestartLosesCallsAndCountsUpTheIncarnation)
{
    start({});
    begin(m_endpoint, "/v1/completions", completion(100000));
    call(m_endpoint, "/v1/completions", completion(1));
    EXPECT_EQ(call(m_endpoint, "/admin/restart", nlohmann::json::object()).status, 200);
    waitForEnds(3);
    EXPECT_EQ(m_responses[0].end, HttpEnd::Broken);
    const auto state = stateOf(m_endpoint);
    EXPECT_EQ(state["incarnation"], 2);
    EXPECT_EQ(state["cold"], true);
}

TEST_F(ModelEngineTest, CheckingEngineRefusesAnOldFencingNumber)
{
    start({});
    const auto order = [&](int fencing) {
        return call(m_endpoint, "/v1/orders",
                    {{"fencing", fencing}, {"order", "load_model"}, {"argument", "q"}});
    };
    EXPECT_EQ(order(7).status, 200);
    EXPECT_EQ(order(6).status, 409);
    EXPECT_EQ(order(7).status, 200);
    EXPECT_EQ(m_engine->appliedOrders().size(), 2U);
    EXPECT_EQ(stateOf(m_endpoint)["model"], "q");
}

TEST_F(ModelEngineTest, IgnoringEngineAppliesAnOldFencingNumber)
{
    EngineOptions options;
    options.checksFencing = false;
    start(options);
    for (const int fencing : {7, 6}) {
        EXPECT_EQ(call(m_endpoint, "/v1/orders",
                       {{"fencing", fencing}, {"order", "set_version"}, {"argument", "v"}})
                      .status,
                  200);
    }
    EXPECT_EQ(m_engine->appliedOrders().size(), 2U);
}

TEST_F(ModelEngineTest, LoadReportLagsBehindTheLoad)
{
    EngineOptions options;
    options.reportLag = framework::Milliseconds(60000);
    start(options);
    EXPECT_EQ(stateOf(m_endpoint)["running"], 0);
    begin(m_endpoint, "/v1/completions", completion(100000));
    call(m_endpoint, "/v1/completions", completion(1));
    EXPECT_EQ(stateOf(m_endpoint)["running"], 0);
}
