#include "app/tests/gatewayfixture.h"
#include "http/headerlookup.h"

#include <map>
#include <set>
#include <utility>

using namespace lavendertally;
using namespace lavendertally::app;

TEST_F(GatewayFixture, NothingIsDeniedBeforeTheStoreHasBeenRead)
{
    const GatewayProcess gateway = startGateway("g1");
    EXPECT_FALSE(isReady(gateway));
    const auto refused = call(ask(gateway, "/book/x", "r1"));
    EXPECT_EQ(refused.status, 503);
    EXPECT_TRUE(http::findHeader(refused.headers, "Retry-After").has_value());
    publish();
    registerServers();
    EXPECT_TRUE(waitFor([&] { return isReady(gateway); }));
}

TEST_F(GatewayFixture, RequestRunsOnceForTheTeamOfItsKey)
{
    publish();
    registerServers();
    const GatewayProcess gateway = startGateway("g1");
    ASSERT_TRUE(waitFor([&] { return isReady(gateway); }));
    const auto answer = call(ask(gateway, "/book/x", "r1"));
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, "desk ran r1");
    EXPECT_EQ(http::findHeader(answer.headers, "X-Lavendertally-Response-Signature"), "s-r1");
    EXPECT_EQ(m_desk.runs("r1"), 1U);
    EXPECT_NE(m_desk.lastHeaders().find("X-Lavendertally-Tenant: members"), std::string::npos);
    EXPECT_EQ(m_desk.lastHeaders().find("forged"), std::string::npos);
    EXPECT_EQ(m_desk.lastHeaders().find("Api-Key"), std::string::npos);
    EXPECT_EQ(call(ask(gateway, "/book/x", "r2", "stolen")).status, 401);
    EXPECT_EQ(call(ask(gateway, "/other/x", "r3")).status, 404);
    EXPECT_EQ(m_desk.runs("r2"), 0U);
}

TEST_F(GatewayFixture, LostAnswerOfABookingIsNoPromiseAndNoSecondRun)
{
    publish();
    registerServers();
    const GatewayProcess gateway = startGateway("g1");
    ASSERT_TRUE(waitFor([&] { return isReady(gateway); }));
    standins::Fault fault;
    fault.mode = standins::FaultMode::LostAnswer;
    m_desk.setFault(fault);
    EXPECT_EQ(call(ask(gateway, "/book/x", "r1")).status, 502);
    EXPECT_EQ(m_desk.runs("r1"), 1U);
}

TEST_F(GatewayFixture, FullBackendServerIsAnHonestRefusal)
{
    publish();
    registerServers();
    const GatewayProcess gateway = startGateway("g1");
    ASSERT_TRUE(waitFor([&] { return isReady(gateway); }));
    m_desk.setFull(true);
    EXPECT_EQ(call(ask(gateway, "/book/x", "r1")).status, 503);
    EXPECT_EQ(m_desk.runs("r1"), 0U);
}

TEST_F(GatewayFixture, BrokenStreamGoesOnAtAnotherServerWithItsStagesRunAgain)
{
    publish();
    registerServers();
    const GatewayProcess gateway = startGateway("g1");
    ASSERT_TRUE(waitFor([&] { return isReady(gateway); }));
    m_model.setBreakAfter(2);
    for (int each = 0; each < 4; ++each) {
        const std::string id = "r" + std::to_string(each);
        http::HttpRequest request = ask(gateway, "/stream/x", id.c_str());
        request.headers.emplace_back("X-Lavendertally-Pieces", "2");
        request.headers.emplace_back("X-Lavendertally-Piece-Key", "in");
        const auto answer = call(request);
        EXPECT_EQ(answer.end, http::HttpEnd::Complete);
        for (int event = 1; event <= 5; ++event) {
            const std::string line = "id: " + std::to_string(event) + "\n";
            const std::size_t first = answer.body.find(line);
            ASSERT_NE(first, std::string::npos) << answer.body;
            EXPECT_EQ(answer.body.find(line, first + 1), std::string::npos) << answer.body;
        }
    }
    EXPECT_TRUE(waitFor([this] { return m_pool.freedResults() >= 8; }));
}

TEST_F(GatewayFixture, BrokenStreamIsBrokenOffElsewhereBeforeItsHead_ClientSeesItsEnd)
{
    publish();
    registerServers();
    const GatewayProcess gateway = startGateway("g1");
    ASSERT_TRUE(waitFor([&] { return isReady(gateway); }));
    standins::Fault closes;
    closes.mode = standins::FaultMode::Refuse;
    for (auto *server : {&m_model, &m_otherModel}) {
        server->setBreakAfter(2);
        server->onRun([&](const std::string & /*request*/, const std::string & /*team*/) {
            m_model.setFault(closes);
            m_otherModel.setFault(closes);
        });
    }
    http::HttpRequest request = ask(gateway, "/stream/x", "r1");
    request.headers.emplace_back("X-Lavendertally-Pieces", "2");
    request.headers.emplace_back("X-Lavendertally-Piece-Key", "in");
    // The route allows 3 s.
    const auto answer = call(request);
    EXPECT_EQ(answer.end, http::HttpEnd::Broken) << answer.body;
    EXPECT_EQ(m_model.runs("r1") + m_otherModel.runs("r1"), 1U);
}

TEST_F(GatewayFixture, RevokedKeyStopsWorkingAlsoWithoutTheStore)
{
    publish();
    registerServers();
    const GatewayProcess gateway = startGateway("g1");
    ASSERT_TRUE(waitFor([&] { return isReady(gateway); }));
    setStoreFault(standins::FaultMode::Frozen);
    EXPECT_EQ(call(ask(gateway, "/book/x", "r1")).status, 200);
    EXPECT_TRUE(waitFor([&] { return !isReady(gateway); }));
    EXPECT_EQ(call(ask(gateway, "/book/x", "r2")).status, 503);
    EXPECT_EQ(m_desk.runs("r2"), 0U);
    setStoreFault(standins::FaultMode::None);
    EXPECT_TRUE(waitFor([&] { return isReady(gateway); }));
    EXPECT_EQ(call(ask(gateway, "/book/x", "r3")).status, 200);
}

TEST_F(GatewayFixture, GatewayThatCannotReadTheStoreStartsAndGoesOnFromAPeer)
{
    publish();
    registerServers();
    const GatewayProcess informed = startGateway("g1");
    ASSERT_TRUE(waitFor([&] { return isReady(informed); }));
    standins::PlatformStoreStandIn silentStore(*m_loop);
    const framework::Endpoint silent = silentStore.listen({"127.0.0.1", 0}).value();
    standins::Fault frozen;
    frozen.mode = standins::FaultMode::Frozen;
    silentStore.setFault(frozen);
    const GatewayProcess cut = startGateway("g2", silent, informed.control.toString());
    ASSERT_TRUE(waitFor([&] { return isReady(cut); }));
    pause(framework::Milliseconds(4000));
    EXPECT_TRUE(isReady(cut)) << "confirmations come from the peer";
    EXPECT_EQ(call(ask(cut, "/book/x", "r1")).status, 200);
    publish(2, "other");
    EXPECT_TRUE(waitFor([&] { return call(ask(cut, "/book/x", "r2")).status == 401; }));
    EXPECT_EQ(call(ask(cut, "/book/x", "r3", "other")).status, 200);
    setStoreFault(standins::FaultMode::Frozen);
    EXPECT_TRUE(waitFor([&] { return !isReady(cut); }));
    EXPECT_EQ(call(ask(cut, "/book/x", "r4", "other")).status, 503);
    EXPECT_EQ(m_desk.runs("r4"), 0U);
}

TEST_F(GatewayFixture, StopFinishesWhatWasTakenAndIsNotReadyAtOnce)
{
    publish();
    registerServers();
    const GatewayProcess gateway = startGateway("g1");
    ASSERT_TRUE(waitFor([&] { return isReady(gateway); }));
    standins::Fault slow;
    slow.mode = standins::FaultMode::Slow;
    slow.delay = framework::Milliseconds(600);
    m_desk.setFault(slow);
    http::HttpResponse answer;
    bool ended = false;
    const auto under =
        m_client->fetch(ask(gateway, "/book/x", "r1"), [&](http::HttpResponse received) {
            answer = std::move(received);
            ended = true;
        });
    ASSERT_TRUE(waitFor([this] { return true; }));
    pause(framework::Milliseconds(100));
    gateway.process->signal(SIGTERM);
    EXPECT_TRUE(waitFor([&] { return !isReady(gateway); }));
    EXPECT_TRUE(waitFor([&] { return ended; }));
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(gateway.process->wait(WaitLimit), 0);
    EXPECT_FALSE(m_store.newest("keyed.daemons", "g1").has_value());
}

TEST_F(GatewayFixture, ReloadCutsNothing)
{
    publish();
    registerServers();
    const GatewayProcess gateway = startGateway("g1");
    ASSERT_TRUE(waitFor([&] { return isReady(gateway); }));
    gateway.process->signal(SIGHUP);
    EXPECT_EQ(call(ask(gateway, "/book/x", "r1")).status, 200);
    EXPECT_TRUE(isReady(gateway));
}

TEST_F(GatewayFixture, StagesGoOnWhenTheirCoordinatorDies)
{
    publish();
    registerServers();
    std::vector<GatewayProcess> gateways;
    for (const char *id : {"g1", "g2", "g3"}) {
        gateways.push_back(startGateway(id));
    }
    for (const GatewayProcess &gateway : gateways) {
        ASSERT_TRUE(waitFor([&] { return isReady(gateway); }));
    }
    // Links between the gateways take a moment after they know each other.
    pause(framework::Milliseconds(5000));
    for (std::size_t dead = 0; dead + 1 < gateways.size(); ++dead) {
        gateways[dead].process->signal(SIGKILL);
        for (std::size_t living = dead + 1; living < gateways.size(); ++living) {
            const std::string id = "r" + std::to_string(dead) + std::to_string(living);
            http::HttpRequest request = ask(gateways[living], "/stream/x", id.c_str());
            request.headers.emplace_back("X-Lavendertally-Pieces", "1");
            request.headers.emplace_back("X-Lavendertally-Piece-Key", "in");
            EXPECT_EQ(call(request).status, 200) << id;
        }
    }
}

TEST_F(GatewayFixture, MetricsAndStateAreShown)
{
    publish();
    registerServers();
    const GatewayProcess gateway = startGateway("g1");
    ASSERT_TRUE(waitFor([&] { return isReady(gateway); }));
    call(ask(gateway, "/book/x", "r1"));
    const auto metrics = call(get(gateway.metrics, "/metrics"));
    EXPECT_NE(metrics.body.find("lavendertally_requests_total{route=\"book\",route_kind=\"non_"
                                "idempotent\",team=\"members\",outcome=\"done\"} 1"),
              std::string::npos)
        << metrics.body;
    const auto state = nlohmann::json::parse(call(get(gateway.metrics, "/dump")).body);
    EXPECT_TRUE(state["work"].is_array());
    EXPECT_EQ(state["role"], "gateway");
    EXPECT_EQ(state["configuration"], 1);
}

// Guards against a version that is left out, and against pieces without their inputs, where a stage
// needs the results of one with a higher number.
TEST_F(GatewayFixture, StagesNeedOnesWithHigherNumbers_EachIsGivenItsInputsOnAllGateways)
{
    const auto stage = [](std::vector<int> after) {
        return nlohmann::json{{"service", "pool"}, {"after", after}, {"bytes", 1000}};
    };
    m_routeStages = {stage({2, 1}), stage({}), stage({1})};
    const std::vector<std::set<std::uint32_t>> needed = {{1, 2}, {}, {1}};
    const std::vector<std::size_t> pieces = {1, 2, 3};
    publish();
    registerServers();
    const std::vector<GatewayProcess> gateways = [this] {
        std::vector<GatewayProcess> started;
        for (const char *id : {"g1", "g2", "g3"}) {
            started.push_back(startGateway(id));
        }
        return started;
    }();
    for (const GatewayProcess &gateway : gateways) {
        ASSERT_TRUE(waitFor([&] { return isReady(gateway); }));
    }
    for (int each = 0; each < 9; ++each) {
        const std::string id = "r" + std::to_string(each);
        http::HttpRequest request = ask(gateways[each % 3], "/stream/x", id.c_str());
        request.headers.emplace_back("X-Lavendertally-Pieces", "1,2,3");
        request.headers.emplace_back("X-Lavendertally-Piece-Key", "in");
        EXPECT_EQ(call(request).status, 200);
        std::map<std::uint32_t, std::set<std::string>> results;
        for (const standins::MadePiece &made : m_pool.madePieces()) {
            if (made.request == id) {
                results[made.stage].insert(made.result);
            }
        }
        for (const standins::MadePiece &made : m_pool.madePieces()) {
            if (made.request != id) {
                continue;
            }
            std::set<std::string> wanted;
            for (const std::uint32_t other : needed.at(made.stage)) {
                wanted.insert(results[other].begin(), results[other].end());
            }
            EXPECT_EQ(std::set<std::string>(made.inputs.begin(), made.inputs.end()), wanted)
                << "stage " << made.stage;
            EXPECT_EQ(made.inputs.size(), wanted.size());
        }
        for (std::uint32_t number = 0; number < pieces.size(); ++number) {
            EXPECT_EQ(results[number].size(), pieces[number]);
        }
        const auto &model = m_model.runs(id) > 0 ? m_model : m_otherModel;
        ASSERT_EQ(results[0].size(), 1U);
        EXPECT_NE(model.lastHeaders().find("X-Lavendertally-Inputs: " + *results[0].begin() + "\n"),
                  std::string::npos)
            << model.lastHeaders();
    }
}

// Guards against a key that stays in use because the version that takes it away cannot be used.
TEST_F(GatewayFixture, NewestVersionCannotBeUsed_KeyThatItTakesAwayIsRefusedOnAllGateways)
{
    publish();
    registerServers();
    const GatewayProcess gateway = startGateway("g1");
    ASSERT_TRUE(waitFor([&] { return isReady(gateway); }));
    // Each stage needs the other one.
    const nlohmann::json stages = std::exchange(
        m_routeStages,
        {{{"service", "pool"}, {"after", {1}}}, {{"service", "pool"}, {"after", {0}}}});
    publish(2, "other");
    EXPECT_TRUE(waitFor([&] { return call(ask(gateway, "/book/x", "r1")).status == 503; }));
    EXPECT_FALSE(isReady(gateway));
    const GatewayProcess fromStore = startGateway("g2");
    standins::PlatformStoreStandIn silentStore(*m_loop);
    const framework::Endpoint silent = silentStore.listen({"127.0.0.1", 0}).value();
    standins::Fault frozen;
    frozen.mode = standins::FaultMode::Frozen;
    silentStore.setFault(frozen);
    const GatewayProcess fromPeer = startGateway("g3", silent, gateway.control.toString());
    for (const GatewayProcess *each : {&fromStore, &fromPeer}) {
        EXPECT_TRUE(waitFor([&] {
            const std::string state = call(get(each->metrics, "/dump")).body;
            return nlohmann::json::parse(state)["newest_configuration_rejected"] == true;
        }));
    }
    // The store executes an older write late.
    m_routeStages = stages;
    publish(1);
    const std::size_t runs = m_desk.allRuns();
    const framework::TimePoint end = m_clock->now() + RevocationLimit * 2;
    while (m_clock->now() < end) {
        for (const GatewayProcess *each : {&gateway, &fromStore, &fromPeer}) {
            EXPECT_EQ(call(ask(*each, "/book/x", "r2")).status, 503);
        }
    }
    EXPECT_EQ(m_desk.allRuns(), runs);
    publish(3, "other");
    for (const GatewayProcess *each : {&gateway, &fromStore, &fromPeer}) {
        EXPECT_TRUE(waitFor([&] { return isReady(*each); }));
        EXPECT_EQ(call(ask(*each, "/book/x", "r3")).status, 401);
        EXPECT_EQ(call(ask(*each, "/book/x", "r4", "other")).status, 200);
    }
}

// Guards against a key that is in use again at a gateway that has started, since the store executed
// an older version after the one that takes the key away.
TEST_F(GatewayFixture, GatewayStartsAfterALateOlderVersion_PeerTellsTheNewerOne)
{
    publish(1, "other");
    registerServers();
    const GatewayProcess informed = startGateway("g1");
    ASSERT_TRUE(waitFor([&] { return isReady(informed); }));
    publish(3);
    ASSERT_TRUE(waitFor([&] { return call(ask(informed, "/book/x", "r1")).status == 200; }));
    publish(2, "other");
    const GatewayProcess started = startGateway("g2", m_storeEndpoint, informed.control.toString());
    ASSERT_TRUE(waitFor([&] { return isReady(started); }));
    EXPECT_TRUE(waitFor([&] { return call(ask(started, "/book/x", "r2")).status == 200; }));
    EXPECT_EQ(call(ask(started, "/book/x", "r3", "other")).status, 401);
}

// Guards against requests that need no key because the list of teams is empty.
TEST_F(GatewayFixture, LastTeamIsTakenAway_NoKeyIsValidOnAnyGateway)
{
    publish();
    registerServers();
    const GatewayProcess gateway = startGateway("g1");
    ASSERT_TRUE(waitFor([&] { return isReady(gateway); }));
    EXPECT_EQ(call(ask(gateway, "/book/x", "r1")).status, 200);
    int version = 1;
    for (const nlohmann::json &teams : {nlohmann::json::array(), nlohmann::json()}) {
        m_teams = teams;
        publish(++version);
        EXPECT_TRUE(waitFor([&] { return call(ask(gateway, "/book/x", "r2")).status == 401; }));
        const GatewayProcess fromPeer = startGateway("g" + std::to_string(version), m_storeEndpoint,
                                                     gateway.control.toString());
        ASSERT_TRUE(waitFor([&] { return isReady(fromPeer); }));
        const std::size_t runs = m_desk.allRuns();
        for (const char *key : {"key", "unknown", ""}) {
            EXPECT_EQ(call(ask(gateway, "/book/x", "r3", key)).status, 401) << teams;
            EXPECT_EQ(call(ask(fromPeer, "/book/x", "r4", key)).status, 401) << teams;
        }
        EXPECT_EQ(m_desk.allRuns(), runs);
    }
}
