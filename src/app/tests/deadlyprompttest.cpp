#include "app/tests/gatewayfixture.h"
#include "http/headerlookup.h"

using namespace lavendertally;
using namespace lavendertally::app;

namespace {

class DeadlyPromptTest : public GatewayFixture
{
protected:
    static constexpr framework::Milliseconds DownTime{300};
    static constexpr const char *DeadlyPart = "dead01";
    /// Requests with a deadly part that may still reach backend servers once the cause is known.
    static constexpr std::size_t MaxRunsAfterwards = 3;

    /// Time within which all gateways know what one has seen.
    static constexpr framework::Milliseconds SpreadTime{3000};

    std::size_t crashes() const { return m_model.crashes() + m_otherModel.crashes(); }

    http::HttpResponse generate(const GatewayProcess &gateway, const std::string &parts)
    {
        const std::string id = "r" + std::to_string(++m_lastId);
        http::HttpRequest request = ask(gateway, "/stream/x", id.c_str());
        request.headers.emplace_back("X-Lavendertally-Prompt-Prefix", parts + ",f" + id + ":10");
        return call(request);
    }

    nlohmann::json dump(const GatewayProcess &gateway)
    {
        return nlohmann::json::parse(call(get(gateway.metrics, "/dump")).body);
    }
    /// \return whether the gateway knows that the store had not changed at \p instant
    bool hasReadStoreSince(const GatewayProcess &gateway, framework::TimePoint instant)
    {
        const framework::Milliseconds age(dump(gateway)["configuration_age_ms"].get<int>());
        return m_clock->now() - age > instant;
    }
    bool hasBlamedPart(const GatewayProcess &gateway)
    {
        const std::string metrics = call(get(gateway.metrics, "/metrics")).body;
        return metrics.find("lavendertally_prompt_part_standings_total{standing=\"blamed\"}")
            != std::string::npos;
    }

    int m_lastId = 0;
};

} // namespace

TEST_F(DeadlyPromptTest, PromptPartCrashesServers_RequestsWithItStopReachingThem)
{
    publish();
    registerServers();
    m_model.setDeadlyPart(DeadlyPart, DownTime);
    m_otherModel.setDeadlyPart(DeadlyPart, DownTime);
    const GatewayProcess gateway = startGateway("g1");
    ASSERT_TRUE(waitFor([&] { return isReady(gateway); }));
    const std::string deadly = std::string("a1:100,") + DeadlyPart + ":50";
    const std::string sound = "a1:100,b2:50";
    for (int each = 0; crashes() < 5 && each < 10; ++each) {
        generate(gateway, deadly);
        pause(DownTime * 2);
        EXPECT_EQ(generate(gateway, sound).status, 200);
    }
    const std::size_t before = crashes();
    http::HttpResponse last;
    for (int each = 0; each < 8; ++each) {
        last = generate(gateway, deadly);
        pause(DownTime * 2);
    }
    EXPECT_LE(crashes() - before, MaxRunsAfterwards);
    EXPECT_EQ(last.status, 503);
    EXPECT_TRUE(http::findHeader(last.headers, "Retry-After").has_value());
    const auto answer = generate(gateway, sound);
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.end, http::HttpEnd::Complete);
}

TEST_F(DeadlyPromptTest, ServerCrashesOnUnknownPrompt_RequestIsNotSentToSecondServer)
{
    publish();
    registerServers();
    m_model.setDeadlyPart(DeadlyPart, DownTime);
    m_otherModel.setDeadlyPart(DeadlyPart, DownTime);
    const GatewayProcess gateway = startGateway("g1");
    ASSERT_TRUE(waitFor([&] { return isReady(gateway); }));
    EXPECT_EQ(generate(gateway, std::string(DeadlyPart) + ":50").status, 502);
    EXPECT_EQ(crashes(), 1U);
}

TEST_F(DeadlyPromptTest, CrashesSeenByOneGatewayWhileTheStoreIsAway_TheOtherRefusesThePart)
{
    publish();
    registerServers();
    m_model.setDeadlyPart(DeadlyPart, DownTime);
    m_otherModel.setDeadlyPart(DeadlyPart, DownTime);
    GatewayProcess first = startGateway("g1");
    GatewayProcess second = startGateway("g2");
    for (const GatewayProcess *gateway : {&first, &second}) {
        ASSERT_TRUE(waitFor([&] { return isReady(*gateway) && dump(*gateway)["daemons"] == 2; }));
    }
    const std::string deadly = std::string(DeadlyPart) + ":50";
    setStoreFault(standins::FaultMode::Frozen);
    for (int each = 0; crashes() < 2 && each < 10; ++each) {
        generate(first, deadly);
        pause(PollInterval);
    }
    ASSERT_EQ(crashes(), 2U);
    const framework::TimePoint crashed = m_clock->now();
    ASSERT_TRUE(waitFor([&] { return hasBlamedPart(second); }));
    EXPECT_LT(m_clock->now() - crashed, SpreadTime);

    first.process.reset();
    first = startGateway("g1", m_storeEndpoint, second.control.toString());
    const framework::TimePoint restarted = m_clock->now();
    ASSERT_TRUE(waitFor([&] { return hasBlamedPart(first); }))
        << "a gateway that starts learns what the others know";
    EXPECT_LT(m_clock->now() - restarted, SpreadTime);

    setStoreFault(standins::FaultMode::None);
    const framework::TimePoint returned = m_clock->now();
    for (const GatewayProcess *gateway : {&first, &second}) {
        ASSERT_TRUE(waitFor([&] { return hasReadStoreSince(*gateway, returned); }));
        ASSERT_TRUE(waitFor([&] { return isReady(*gateway); }));
        const http::HttpResponse refusal = generate(*gateway, deadly);
        EXPECT_EQ(refusal.status, 503);
        EXPECT_TRUE(http::findHeader(refusal.headers, "Retry-After").has_value());
        EXPECT_EQ(generate(*gateway, "b2:50").status, 200);
    }
    EXPECT_EQ(crashes(), 2U);
}
