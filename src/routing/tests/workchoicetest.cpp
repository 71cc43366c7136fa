#include "framework/frameworkmodule.h"
#include "framework/imetrics.h"
#include "framework/irandom.h"
#include "membership/testing/fakebackendservers.h"
#include "ratelimit/testing/testratelimits.h"
#include "routing/ibackendserverselector.h"
#include "routing/icallwork.h"
#include "routing/routingmodule.h"
#include "routing/types/serverquery.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <vector>

using namespace lavendertally;
using namespace lavendertally::routing;
using framework::Milliseconds;
using framework::TimePoint;

namespace {

constexpr TimePoint Start(100000);
constexpr std::uint64_t Seed = 11;
const framework::ServiceId Service("models");

framework::BackendServerId id(std::size_t index)
{
    return framework::BackendServerId("m" + std::to_string(index));
}

ServerQuery makeQuery(std::int64_t promptTokens, std::uint64_t sharedPart = 0)
{
    static std::uint64_t ownPart = 1000000;
    ServerQuery query;
    query.service = Service;
    query.zone = framework::AvailabilityZoneId("za");
    query.work.route = framework::RouteId("r");
    query.work.promptTokens = framework::TokenCount(promptTokens);
    query.work.maxOutputTokens = framework::TokenCount(400);
    if (sharedPart != 0) {
        constexpr std::int64_t SharedTokens = 5000;
        query.prefixHash = sharedPart;
        query.work.parts = {
            {framework::PromptPartId(sharedPart), framework::TokenCount(SharedTokens)},
            {framework::PromptPartId(++ownPart),
             framework::TokenCount(promptTokens - SharedTokens)}};
    }
    return query;
}

} // namespace

class WorkChoiceTest : public testing::Test
{
protected:
    WorkChoiceTest()
        : m_random(framework::FrameworkModule::makeRandom(Seed)),
          m_metrics(framework::FrameworkModule::makeMetrics()),
          m_selector(RoutingModule::makeBackendServerSelector(m_servers, m_rateLimits.limits(),
                                                              *m_random, {}, m_metrics.get()))
    { }

    /// Adds idle servers that report four figures.
    void addServers(std::size_t count, const char *zone = "za")
    {
        for (std::size_t added = 0; added < count; ++added) {
            membership::BackendServerEntry entry;
            entry.id = id(m_count++);
            entry.service = Service;
            entry.zone = framework::AvailabilityZoneId(zone);
            entry.slots = 64;
            m_servers.add(entry);
            report(m_count - 1, 0, 0);
        }
    }
    void report(std::size_t server, std::uint32_t running, std::uint32_t waiting,
                TimePoint now = Start)
    {
        m_selector->observeLoad(id(server), {running, waiting, 64, 100}, now);
    }
    std::string select(const ServerQuery &query, TimePoint now = Start)
    {
        const auto server = m_selector->select(query, now);
        return server ? server->id.value() : std::string("none");
    }
    /// Selects and sends.
    std::pair<std::string, CallNumber> send(const ServerQuery &query, TimePoint now = Start)
    {
        const std::string server = select(query, now);
        const framework::BackendServerId chosen(server);
        m_selector->callStarted(chosen, now);
        return {server, m_selector->callWork().started(chosen, query, now)};
    }
    /// Answers a call with ten events.
    void answer(const std::pair<std::string, CallNumber> &call, TimePoint sent, double firstMs,
                double eventMs)
    {
        constexpr int Events = 10;
        TimePoint now = sent;
        for (int event = 0; event < Events; ++event) {
            now = sent + Milliseconds(std::llround(firstMs + eventMs * event));
            m_selector->callWork().eventReceived(call.second, now);
        }
        m_selector->responseStarted(framework::BackendServerId(call.first), sent, sent);
        m_selector->callEnded(framework::BackendServerId(call.first), CallOutcome::Succeeded, now);
        m_selector->callWork().ended(call.second, CallOutcome::Succeeded, now);
    }

    std::size_t m_count = 0;
    membership::FakeBackendServers m_servers;
    ratelimit::TestRateLimits m_rateLimits;
    std::unique_ptr<framework::IRandom> m_random;
    std::unique_ptr<framework::IMetrics> m_metrics;
    std::unique_ptr<IBackendServerSelector> m_selector;
};

/// Counting calls, a long prompt weighs as much as a short one, and a second long one may wait for
/// half a second behind the first.
TEST_F(WorkChoiceTest, LongPromptsAmongShortOnes_DoNotQueueBehindEachOther)
{
    addServers(8);
    std::map<std::string, int> longOnes;
    for (int round = 0; round < 8; ++round) {
        ++longOnes[send(makeQuery(50000)).first];
        for (int other = 0; other < 3; ++other) {
            send(makeQuery(300));
        }
    }
    EXPECT_EQ(longOnes.size(), 8U);
}

/// A quarter of the servers of one deployment has half of the others' speed, and says that its work
/// takes the usual time. Calls counted, it got as many prompts as the others and was late with
/// them.
TEST_F(WorkChoiceTest, ServerAtHalfSpeed_GetsLess)
{
    addServers(4);
    std::map<std::string, int> sent;
    TimePoint now = Start;
    for (int round = 0; round < 400; ++round) {
        std::vector<std::pair<std::string, CallNumber>> calls;
        for (int call = 0; call < 4; ++call) {
            calls.push_back(send(makeQuery(8000), now));
        }
        for (const auto &call : calls) {
            const double slowness = call.first == "m0" ? 2.0 : 1.0;
            answer(call, now, 100.0 * slowness, 30.0 * slowness);
            sent[call.first] += round >= 100 ? 1 : 0;
        }
        now = now + Milliseconds(1000);
        for (std::size_t server = 0; server < m_count; ++server) {
            report(server, 0, 0, now);
        }
    }
    EXPECT_LT(sent["m0"], 200);
    EXPECT_GT(sent["m1"], 300);
}

/// Without an end to what was learned, a server that was slow once would never be tried again.
TEST_F(WorkChoiceTest, SlowServerIsFastAgain_IsTriedAgain)
{
    addServers(2);
    TimePoint now = Start;
    for (int round = 0; round < 40; ++round) {
        ServerQuery query = makeQuery(8000);
        query.excluded = {id(1)};
        answer(send(query, now), now, 800.0, 200.0);
        ServerQuery other = makeQuery(8000);
        other.excluded = {id(0)};
        answer(send(other, now), now, 100.0, 30.0);
        now = now + Milliseconds(3000);
    }
    EXPECT_EQ(select(makeQuery(8000), now), "m1");
    now = now + Milliseconds(600000);
    int tried = 0;
    for (int draw = 0; draw < 100; ++draw) {
        report(1, 2, 0, now);
        tried += select(makeQuery(8000), now) == "m0" ? 1 : 0;
    }
    EXPECT_GT(tried, 0);
}

/// Reading kept parts again costs about 50 ms; waiting behind a long prompt costs ten times that.
TEST_F(WorkChoiceTest, CachedPrompt_WinsOnlyWhileItsServerIsNotFarBehind)
{
    addServers(12);
    TimePoint now = Start;
    const std::string home = select(makeQuery(7000, 77), now);
    for (int call = 0; call < 3; ++call) {
        const auto sent = send(makeQuery(7000, 77), now);
        EXPECT_EQ(sent.first, home);
        answer(sent, now, 57.0, 30.0);
        now = now + Milliseconds(500);
    }
    ServerQuery elsewhere = makeQuery(30000);
    for (std::size_t server = 0; server < m_count; ++server) {
        if (id(server).value() != home) {
            elsewhere.excluded.insert(id(server));
        }
    }
    send(elsewhere, now);
    EXPECT_NE(select(makeQuery(7000, 77), now), home);
}

/// Each gateway prefers the same servers for a prompt without a message between them; if each chose
/// its own, every server would have to read every prompt.
TEST_F(WorkChoiceTest, TwoGateways_SendAPromptToTheSameServer)
{
    addServers(19);
    const auto random = framework::FrameworkModule::makeRandom(Seed + 1);
    const auto other =
        RoutingModule::makeBackendServerSelector(m_servers, m_rateLimits.limits(), *random);
    for (std::size_t server = 0; server < m_count; ++server) {
        other->observeLoad(id(server), {0, 0, 64, 100}, Start);
    }
    for (std::uint64_t prompt = 1; prompt <= 20; ++prompt) {
        const auto chosen = other->select(makeQuery(7000, prompt * 7919), Start);
        EXPECT_EQ(select(makeQuery(7000, prompt * 7919)), chosen->id.value());
    }
}

/// The bytes between zones are paid for; a remote server must save more than they cost.
TEST_F(WorkChoiceTest, OtherZone_OnlyIfItSavesMoreThanItCosts)
{
    addServers(3, "za");
    addServers(3, "zb");
    const auto isLocal = [](const std::string &name) { return name < "m3"; };
    for (int call = 0; call < 20; ++call) {
        EXPECT_TRUE(isLocal(select(makeQuery(2000))));
    }
    for (std::size_t server = 0; server < 3; ++server) {
        report(server, 10, 6);
    }
    EXPECT_FALSE(isLocal(select(makeQuery(2000))));
}

/// What a gateway that is far behind sends to one server shows in that server's reports only.
TEST_F(WorkChoiceTest, OtherGatewayFloodsOneServer_ItIsAvoided)
{
    addServers(4);
    report(0, 20, 20);
    for (int call = 0; call < 20; ++call) {
        EXPECT_NE(select(makeQuery(2000)), "m0");
    }
}

/// A gateway hears from a server every few seconds. An old report must not keep it away for good.
TEST_F(WorkChoiceTest, ReportOfBusyServerIsOld_ItIsUsedAgain)
{
    addServers(4);
    report(0, 20, 20);
    const TimePoint later = Start + Milliseconds(60000);
    int used = 0;
    for (int call = 0; call < 100; ++call) {
        used += select(makeQuery(2000), later) == "m0" ? 1 : 0;
    }
    EXPECT_GT(used, 5);
}

/// Many gateways read that one server is idle and the others are busy. If all of them sent their
/// next request there, it would be the most loaded of all before its next report.
TEST_F(WorkChoiceTest, OneServerReportsIdle_GatewaysDoNotAllChooseIt)
{
    constexpr std::size_t Servers = 58;
    addServers(Servers);
    for (const std::size_t gateways : {26U, 320U}) {
        std::size_t toIdle = 0;
        for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
            const auto random = framework::FrameworkModule::makeRandom(Seed + gateway);
            const auto selector =
                RoutingModule::makeBackendServerSelector(m_servers, m_rateLimits.limits(), *random);
            for (std::size_t server = 0; server < Servers; ++server) {
                const std::uint32_t busy = server == 0 ? 0 : 2;
                selector->observeLoad(id(server), {busy * 5, busy, 64, 100}, Start);
            }
            const auto chosen = selector->select(makeQuery(4000), Start);
            toIdle += chosen->id == id(0) ? 1 : 0;
        }
        EXPECT_LT(toIdle, gateways / 4) << gateways;
        EXPECT_GT(toIdle, 0U) << gateways;
    }
}

/// Sites whose servers report three figures are served as before, whatever their requests state.
TEST_F(WorkChoiceTest, NoFourthFigure_ChoiceIsByCallsAsBefore)
{
    membership::FakeBackendServers servers;
    for (std::size_t index = 0; index < 6; ++index) {
        membership::BackendServerEntry entry;
        entry.id = id(index);
        entry.service = Service;
        entry.zone = framework::AvailabilityZoneId(index % 2 == 0 ? "za" : "zb");
        entry.slots = 8;
        servers.add(entry);
    }
    const auto play = [&](bool statesWork) {
        const auto random = framework::FrameworkModule::makeRandom(Seed);
        const auto selector =
            RoutingModule::makeBackendServerSelector(servers, m_rateLimits.limits(), *random);
        std::vector<std::string> chosen;
        for (int call = 0; call < 200; ++call) {
            const TimePoint now = Start + Milliseconds(call * 20);
            ServerQuery query = makeQuery(7000, call % 3 == 0 ? 55 : 0);
            if (!statesWork) {
                query.work = {};
            }
            const auto server = selector->select(query, now);
            chosen.push_back(server->id.value());
            selector->callStarted(server->id, now);
            const CallNumber number = selector->callWork().started(server->id, query, now);
            selector->observeLoad(server->id, {static_cast<std::uint32_t>(call % 7), 1, 8}, now);
            if (call % 4 != 0) {
                selector->responseStarted(server->id, now, now);
                selector->callEnded(server->id, CallOutcome::Succeeded, now);
                selector->callWork().ended(number, CallOutcome::Succeeded, now);
            }
        }
        return chosen;
    };
    EXPECT_EQ(play(true), play(false));
}

/// Calls that end in whatever way must not leave work behind, or their server would look busy for
/// ever; the list for the dump of state is bounded.
TEST_F(WorkChoiceTest, AllCallsEnded_NoWorkIsOutstanding)
{
    addServers(5);
    const std::vector<CallOutcome> outcomes = {CallOutcome::Succeeded, CallOutcome::Failed,
                                               CallOutcome::Refused, CallOutcome::TransportFailed,
                                               CallOutcome::Cancelled};
    std::vector<CallNumber> calls;
    for (std::size_t index = 0; index < outcomes.size(); ++index) {
        calls.push_back(send(makeQuery(3000)).second);
    }
    const auto busy = m_selector->callWork().outstanding(3, Start);
    ASSERT_EQ(busy.size(), 3U);
    EXPECT_GT(busy.front().unreadTokens, framework::TokenCount(0));
    for (std::size_t index = 0; index < outcomes.size(); ++index) {
        m_selector->callWork().ended(calls[index], outcomes[index], Start);
        m_selector->callWork().ended(calls[index], outcomes[index], Start);
    }
    for (const ServerWorkView &view : m_selector->callWork().outstanding(10, Start)) {
        EXPECT_EQ(view.ownCalls, 0U);
        EXPECT_EQ(view.unreadTokens, framework::TokenCount(0));
        EXPECT_EQ(view.unwrittenTokens, framework::TokenCount(0));
    }
}

/// Operators must see how good the predictions are and what decides the choices.
TEST_F(WorkChoiceTest, AnsweredCall_ErrorAndReasonAreCounted)
{
    addServers(2);
    answer(send(makeQuery(3000)), Start, 50.0, 30.0);
    const std::string text = m_metrics->prometheusText();
    EXPECT_NE(text.find("lavendertally_server_choices_total{reason="), std::string::npos);
    EXPECT_NE(text.find("lavendertally_first_event_prediction_error_ms"), std::string::npos);
    EXPECT_NE(text.find("lavendertally_call_time_prediction_error_ms"), std::string::npos);
}

/// Plain services: a server that takes three times as long got as many calls as the others while
/// none had a queue.
TEST_F(WorkChoiceTest, PlainServiceWithSlowServer_ItGetsFewerCalls)
{
    for (std::size_t index = 0; index < 3; ++index) {
        membership::BackendServerEntry entry;
        entry.id = id(index);
        entry.service = Service;
        entry.zone = framework::AvailabilityZoneId("za");
        entry.slots = 4;
        m_servers.add(entry);
    }
    std::map<std::string, int> sent;
    TimePoint now = Start;
    for (int round = 0; round < 200; ++round) {
        ServerQuery query = makeQuery(0);
        const auto call = send(query, now);
        const Milliseconds taken(call.first == "m0" ? 90 : 30);
        m_selector->responseStarted(framework::BackendServerId(call.first), now, now + taken);
        m_selector->callEnded(framework::BackendServerId(call.first), CallOutcome::Succeeded,
                              now + taken);
        m_selector->callWork().ended(call.second, CallOutcome::Succeeded, now + taken);
        sent[call.first] += round >= 100 ? 1 : 0;
        now = now + Milliseconds(200);
    }
    EXPECT_LT(sent["m0"], 10);
}
