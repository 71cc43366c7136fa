#include "app/tests/gatewayfixture.h"

#include <algorithm>
#include <array>
#include <map>

using namespace lavendertally;
using namespace lavendertally::app;

namespace {

constexpr framework::Milliseconds Duration{8000};
constexpr double ExposureShare = 0.1;
constexpr std::size_t ExposureSlack = 50;
constexpr framework::Milliseconds RollbackLimit{5000};
constexpr std::size_t ServersOfAVersion = 3;
constexpr const char *StatusTopic = "keyed.status";
constexpr const char *StatusKey = "rollout/plain";

} // namespace

/// Three real gateways before stand-in servers of two versions of a service.
class RolloutProcessTest : public GatewayFixture
{
protected:
    using Server = standins::PlatformServerStandIn;

    RolloutProcessTest()
    {
        m_moreSettings = "exposure_share: 0.1\nexposure_slack: 50\nrollback_limit: 5000ms\n";
        for (std::size_t each = 0; each < ServersOfAVersion; ++each) {
            m_old.push_back(add("old", each, "v1"));
            m_new.push_back(add("new", each, "v2"));
        }
        publishRoutes();
    }

    std::unique_ptr<Server> add(const char *name, std::size_t number, const char *version)
    {
        const std::string id = name + std::to_string(number);
        auto server = std::make_unique<Server>(*m_loop, id);
        EXPECT_TRUE(server->listen({"127.0.0.1", 0}));
        server->setWorkTime(framework::Milliseconds(20));
        const nlohmann::json entry = {{"service", "plain"},
                                      {"zone", "za"},
                                      {"address", server->endpoint().toString()},
                                      {"slots", 8},
                                      {"state", "ready"},
                                      {"version", version},
                                      {"born", std::string(version) == "v1" ? 1 : 2}};
        m_store.put("keyed.servers", id, entry.dump());
        return server;
    }
    void publishRoutes()
    {
        nlohmann::json routes = nlohmann::json::array();
        for (const char *name : {"fast", "other"}) {
            routes.push_back({{"name", name},
                              {"pathPrefix", std::string("/") + name + "/"},
                              {"service", "plain"},
                              {"routeKind", "idempotent"},
                              {"hostname", "h"},
                              {"timeoutMs", 3000},
                              {"priority", 0},
                              {"public", false},
                              {"maxAttempts", 2},
                              {"targetLatencyMs", 1000}});
        }
        const nlohmann::json configuration = {
            {"version", 1},
            {"routes", routes},
            {"services", {{{"name", "plain"}}}},
            {"tenants", {{{"name", "members"}, {"apiKeys", {"key"}}}}}};
        m_store.put("keyed.op", "config", configuration.dump());
    }
    void startAll()
    {
        for (const char *id : {"g1", "g2", "g3"}) {
            m_gateways.push_back(startGateway(id));
        }
        for (const GatewayProcess &gateway : m_gateways) {
            ASSERT_TRUE(waitFor([&] { return isReady(gateway); }));
        }
        // Links between gateways follow their registrations.
        load(framework::Milliseconds(2500));
    }
    void order(const char *target = "v2")
    {
        m_ordered = m_clock->now();
        m_sentBefore = m_sent;
        m_store.put("keyed.op", "op/rollout/plain",
                    nlohmann::json({{"service", "plain"},
                                    {"target", target},
                                    {"durationS", static_cast<double>(Duration.value()) / 1000.0}})
                        .dump());
    }
    std::string state()
    {
        const auto text = m_store.newest(StatusTopic, StatusKey);
        return text ? nlohmann::json::parse(*text)["state"].get<std::string>() : "";
    }

    /// Sends a request each 10 ms, to one gateway after the other and on both routes.
    /// \param until ends the load early
    void load(
        framework::Milliseconds time, const std::function<bool()> &until = [] { return false; })
    {
        const framework::TimePoint start = m_clock->now();
        framework::TimePoint next = start;
        while (m_clock->now() - start < time && !until()) {
            if (m_clock->now() >= next) {
                next = next + framework::Milliseconds(10);
                send();
            }
            pause(framework::Milliseconds(2));
            noteState();
        }
        std::erase_if(m_calls, [](const auto &call) { return call.second == nullptr; });
    }
    void send()
    {
        const GatewayProcess &gateway = m_gateways[m_sent % m_gateways.size()];
        const std::string id = "r" + std::to_string(m_sent);
        const char *path = (m_sent / m_gateways.size()) % 2 == 0 ? "/fast/x" : "/other/x";
        ++m_sent;
        m_calls[id] =
            m_client->fetch(ask(gateway, path, id.c_str()), [this](http::HttpResponse answer) {
                const bool isServed = answer.end == http::HttpEnd::Complete && answer.status == 200;
                m_notServed += isServed ? 0 : 1;
            });
    }
    /// Keeps what matters at the moment in which the status becomes final.
    void noteState()
    {
        if (!m_final.empty() || (state() != "completed" && state() != "rolled_back")) {
            return;
        }
        m_final = state();
        m_finalAt = m_clock->now();
        for (const auto &server : m_old) {
            m_inFlightAtOld += server->inFlight();
        }
        m_newRunsAtFinal = newRuns();
    }
    std::size_t newRuns() const
    {
        std::size_t runs = 0;
        for (const auto &server : m_new) {
            runs += server->allRuns();
        }
        return runs;
    }
    bool isFinal() const { return !m_final.empty(); }
    /// Sends requests until \p condition holds.
    bool loadUntil(const std::function<bool()> &condition)
    {
        load(WaitLimit, condition);
        return condition();
    }
    bool hasRolledBack(const GatewayProcess &gateway)
    {
        const auto metrics = call(get(gateway.metrics, "/metrics"));
        return metrics.body.find(R"(lavendertally_rollout_step{service="plain",version="v2"} 4)")
            != std::string::npos;
    }
    void expectExposureWithinBound() const
    {
        const double allowed =
            ExposureShare * static_cast<double>(m_sent - m_sentBefore) + ExposureSlack;
        EXPECT_LE(static_cast<double>(newRuns()), allowed);
    }
    /// A bad version is rolled back, and gets nothing more some time after that.
    void expectRolledBack()
    {
        load(Duration, [this] { return isFinal(); });
        ASSERT_EQ(m_final, "rolled_back");
        load(framework::Milliseconds(500));
        const std::size_t before = newRuns();
        const framework::TimePoint deadline = m_ordered + Duration;
        load(std::max(deadline - m_clock->now(), framework::Milliseconds(1500)));
        EXPECT_EQ(newRuns(), before);
        expectExposureWithinBound();
        EXPECT_EQ(state(), "rolled_back");
    }

    std::vector<std::unique_ptr<Server>> m_old;
    std::vector<std::unique_ptr<Server>> m_new;
    std::vector<GatewayProcess> m_gateways;
    std::map<std::string, std::unique_ptr<http::IHttpCall>> m_calls;
    framework::TimePoint m_ordered;
    framework::TimePoint m_finalAt;
    std::string m_final;
    std::size_t m_sent = 0;
    std::size_t m_sentBefore = 0;
    std::size_t m_notServed = 0;
    std::size_t m_inFlightAtOld = 0;
    std::size_t m_newRunsAtFinal = 0;
};

TEST_F(RolloutProcessTest, GoodVersion_TakesOverBeforeTheDeadlineAndNothingIsCutOff)
{
    startAll();
    EXPECT_EQ(newRuns(), 0U) << "before the order";
    order();
    load(Duration, [this] { return isFinal(); });
    ASSERT_EQ(m_final, "completed");
    EXPECT_EQ(m_inFlightAtOld, 0U);
    for (std::size_t each = 0; each < m_old.size(); ++each) {
        m_store.remove("keyed.servers", "old" + std::to_string(each));
    }
    m_old.clear();
    load(framework::Milliseconds(2000));
    EXPECT_EQ(m_notServed, 0U);
}

TEST_F(RolloutProcessTest, BadAtOnce_IsRolledBackWithinItsShare)
{
    startAll();
    for (const auto &server : m_new) {
        server->setFailing(2);
    }
    order();
    expectRolledBack();
    EXPECT_LT(newRuns(), 100U) << "half of them are bad: before the 50th bad answer";
}

TEST_F(RolloutProcessTest, BadLate_IsRolledBackWithinItsShare)
{
    startAll();
    order();
    load(framework::Milliseconds(Duration.value() / 2), [this] { return isFinal(); });
    ASSERT_EQ(m_final, "");
    for (const auto &server : m_new) {
        server->setFailing(2);
    }
    expectRolledBack();
}

TEST_F(RolloutProcessTest, SlowOnOneRoute_IsRolledBackWithinItsShare)
{
    startAll();
    for (const auto &server : m_new) {
        server->setSlowPath("/other/", framework::Milliseconds(120));
    }
    order();
    expectRolledBack();
}

TEST_F(RolloutProcessTest, DeciderIsKilledBetweenSteps_SuccessorGoesOn)
{
    startAll();
    order();
    load(framework::Milliseconds(Duration.value() / 3), [this] { return isFinal(); });
    m_gateways.front().process->signal(SIGKILL);
    m_gateways.erase(m_gateways.begin());
    m_notServed = 0;
    load(Duration, [this] { return isFinal(); });
    ASSERT_EQ(m_final, "completed");
    EXPECT_EQ(m_inFlightAtOld, 0U);
}

TEST_F(RolloutProcessTest, DeciderIsKilledWithBadVersion_SuccessorRollsBack)
{
    startAll();
    order();
    load(framework::Milliseconds(Duration.value() / 3), [this] { return isFinal(); });
    for (const auto &server : m_new) {
        server->setFailing(2);
    }
    load(framework::Milliseconds(300));
    m_gateways.front().process->signal(SIGKILL);
    m_gateways.erase(m_gateways.begin());
    expectRolledBack();
}

TEST_F(RolloutProcessTest, StoreIsAwayDuringTheDecision_RollbackDoesNotWaitForIt)
{
    startAll();
    order();
    ASSERT_TRUE(loadUntil([this] { return newRuns() > 0; }));
    setStoreFault(standins::FaultMode::Refuse);
    for (const auto &server : m_new) {
        server->setFailing(1);
    }
    const auto areAllRolledBack = [this] {
        return std::all_of(
            m_gateways.begin(), m_gateways.end(),
            [this](const GatewayProcess &gateway) { return hasRolledBack(gateway); });
    };
    ASSERT_TRUE(loadUntil(areAllRolledBack));
    EXPECT_NE(state(), "rolled_back") << "the store is away";
    const std::size_t runs = newRuns();
    load(framework::Milliseconds(300));
    setStoreFault(standins::FaultMode::None);
    ASSERT_TRUE(loadUntil([this] { return isFinal(); }));
    EXPECT_EQ(m_final, "rolled_back");
    EXPECT_EQ(newRuns(), runs);
    expectExposureWithinBound();
}

TEST_F(RolloutProcessTest, GatewayIsFrozen_NothingIsCompletedWhileItMayHoldRequests)
{
    startAll();
    order();
    load(framework::Milliseconds(1000));
    m_gateways.back().process->signal(SIGSTOP);
    GatewayProcess frozen = std::move(m_gateways.back());
    m_gateways.pop_back();
    load(framework::Milliseconds(500));
    frozen.process->signal(SIGCONT);
    m_gateways.push_back(std::move(frozen));
    load(Duration, [this] { return isFinal(); });
    ASSERT_EQ(m_final, "completed");
    EXPECT_EQ(m_inFlightAtOld, 0U);
}
