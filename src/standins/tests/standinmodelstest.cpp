#include "framework/testing/fakeclock.h"
#include "standins/coldstartmodel.h"
#include "standins/faultswitch.h"
#include "standins/hostliststandin.h"
#include "standins/logstandin.h"
#include "standins/poolstandin.h"
#include "standins/prefixcache.h"
#include "standins/tests/standinfixture.h"

using namespace lavendertally;
using namespace lavendertally::standins;

TEST(FaultSwitchTest, CountedFaultEndsByItself)
{
    FaultSwitch faults;
    faults.set({FaultMode::Down, {}, 2, ""});
    EXPECT_EQ(faults.take("/a"), FaultMode::Down);
    EXPECT_EQ(faults.take("/a"), FaultMode::Down);
    EXPECT_EQ(faults.take("/a"), FaultMode::None);
}

TEST(FaultSwitchTest, FaultOfOnePathLeavesTheOthers)
{
    FaultSwitch faults;
    faults.set({FaultMode::Down, {}, 1, "/v1/action"});
    EXPECT_EQ(faults.take("/v1/state"), FaultMode::None);
    EXPECT_EQ(faults.take("/v1/action"), FaultMode::Down);
}

TEST(FaultSwitchTest, MalformedSettingIsRefused)
{
    for (const char *body : {"", "{", "[]", "{}", R"({"mode":"melted"})", R"({"mode":1})"}) {
        EXPECT_FALSE(FaultSwitch::parse(body)) << body;
    }
    const auto fault = FaultSwitch::parse(R"({"mode":"slow","delay_ms":500,"count":3})");
    ASSERT_TRUE(fault);
    EXPECT_EQ(fault->delay, framework::Milliseconds(500));
    EXPECT_EQ(fault->count, 3U);
}

TEST(ColdStartModelTest, WarmsUpByTime)
{
    framework::FakeClock clock;
    ColdStartOptions options;
    options.startsCold = true;
    options.warmAfter = framework::Milliseconds(100);
    ColdStartModel model(clock, options);
    clock.advance(framework::Milliseconds(99));
    EXPECT_TRUE(model.isCold());
    clock.advance(framework::Milliseconds(1));
    EXPECT_FALSE(model.isCold());
}

TEST(ColdStartModelTest, FailedCallsDoNotWarmUp)
{
    framework::FakeClock clock;
    ColdStartOptions options;
    options.startsCold = true;
    options.warmAfterCalls = 1;
    ColdStartModel model(clock, options);
    model.beginCall();
    model.endCall(false);
    EXPECT_TRUE(model.isCold());
    model.beginCall();
    model.endCall(true);
    EXPECT_FALSE(model.isCold());
}

TEST(ColdStartModelTest, CallsUnderWayWhenItTurnsColdDoNotCountAgainstTheLimit)
{
    framework::FakeClock clock;
    ColdStartOptions options;
    options.limit = 2;
    options.warmAfterCalls = 1;
    ColdStartModel model(clock, options);
    for (int i = 0; i < 5; ++i) {
        model.beginCall();
    }
    model.turnCold();
    EXPECT_TRUE(model.beginCall());
    EXPECT_TRUE(model.beginCall());
    for (int i = 0; i < 5; ++i) {
        model.endCall(true);
    }
    EXPECT_TRUE(model.isCold());
    EXPECT_EQ(model.maxCallsWhileCold(), 2U);
    EXPECT_FALSE(model.beginCall());
    EXPECT_EQ(model.overloads(), 1U);
}

TEST(PrefixCacheTest, ForgetsTheLeastRecentlyUsed)
{
    const framework::TimePoint now;
    PrefixCache cache(2, framework::Milliseconds(0), 0);
    EXPECT_FALSE(cache.touch("a", now));
    EXPECT_FALSE(cache.touch("b", now));
    EXPECT_TRUE(cache.touch("a", now));
    EXPECT_FALSE(cache.touch("c", now));
    EXPECT_TRUE(cache.touch("a", now));
    EXPECT_FALSE(cache.touch("b", now));
}

TEST(PrefixCacheTest, EventsComeLateAndWithGaps)
{
    PrefixCache cache(8, framework::Milliseconds(100), 2);
    for (const char *prefix : {"a", "b", "c"}) {
        cache.touch(prefix, framework::TimePoint(0));
    }
    EXPECT_TRUE(cache.eventsFrom(0, framework::TimePoint(99))["events"].empty());
    const auto late = cache.eventsFrom(0, framework::TimePoint(100));
    EXPECT_EQ(late["next"], 4);
    ASSERT_EQ(late["events"].size(), 2U);
    EXPECT_EQ(late["events"][1]["prefix"], "c");
}

class PoolTest : public StandInFixture
{ };

TEST_F(PoolTest, FullQueueRefusesWithoutRunning)
{
    ServiceOptions options;
    options.capacity = 1;
    options.queueLimit = 1;
    options.serviceTime = framework::Milliseconds(50);
    PoolStandIn pool(*m_loop, PoolKind::Encode, options);
    const auto endpoint = pool.listen({"127.0.0.1", 0}).value();
    for (int i = 0; i < 3; ++i) {
        begin(endpoint, "/v1/encode", {{"text", "x"}});
    }
    waitForEnds(3);
    const auto refused = std::count_if(m_responses.begin(), m_responses.end(),
                                       [](const auto &response) { return response.status == 503; });
    EXPECT_EQ(refused, 1);
}

TEST_F(PoolTest, ColdPoolFallsOverWhenItGetsMoreThanItBears)
{
    ServiceOptions options;
    options.coldStart.startsCold = true;
    options.serviceTime = framework::Milliseconds(50);
    PoolStandIn pool(*m_loop, PoolKind::Encode, options);
    const auto endpoint = pool.listen({"127.0.0.1", 0}).value();
    for (int i = 0; i < 3; ++i) {
        begin(endpoint, "/v1/encode", {{"text", "x"}});
    }
    waitForEnds(3);
    EXPECT_EQ(stateOf(endpoint)["overloads"], 1);
    for (const auto &response : m_responses) {
        EXPECT_NE(response.status, 503);
    }
}

class HostListStandInTest : public StandInFixture
{ };

TEST_F(HostListStandInTest, ListLagsBehindWhatWasSet)
{
    HostListStandIn hosts(*m_loop, HostListOptions{framework::Milliseconds(60000)});
    const auto endpoint = hosts.listen({"127.0.0.1", 0}).value();
    const nlohmann::json list{{"hosts", {{{"host", "h1"}}}}};
    EXPECT_EQ(call(endpoint, "/admin/hosts", list).status, 200);
    EXPECT_EQ(call(endpoint, "/v1/hosts").body, R"({"hosts":[]})");
    EXPECT_EQ(call(endpoint, "/admin/hosts", nlohmann::json::array()).status, 400);
}

class LogStandInTest : public StandInFixture
{
protected:
    static constexpr const char *Records = "/v1/streams/s/records";

    http::HttpResponse append(const framework::Endpoint &endpoint, const char *record)
    {
        return call(endpoint, Records, {{"records", {record}}});
    }
};

TEST_F(LogStandInTest, ReadersLagBehindAppends)
{
    LogOptions options;
    options.lag = framework::Milliseconds(60000);
    LogStandIn log(*m_loop, options);
    const auto endpoint = log.listen({"127.0.0.1", 0}).value();
    append(endpoint, "a");
    EXPECT_EQ(call(endpoint, Records).body, R"({"end":0,"first":0,"next":0,"records":[]})");
}

TEST_F(LogStandInTest, OnlyTheNewestRecordsAreKept)
{
    LogOptions options;
    options.retentionRecords = 2;
    LogStandIn log(*m_loop, options);
    const auto endpoint = log.listen({"127.0.0.1", 0}).value();
    for (const char *record : {"a", "b", "c"}) {
        append(endpoint, record);
    }
    EXPECT_EQ(log.records("s"), (std::vector<std::string>{"b", "c"}));
    EXPECT_EQ(call(endpoint, Records).status, 410);
}

TEST_F(LogStandInTest, MalformedCallsAreRefusedWithoutEffect)
{
    LogStandIn log(*m_loop, LogOptions{});
    const auto endpoint = log.listen({"127.0.0.1", 0}).value();
    EXPECT_EQ(call(endpoint, Records, {{"records", {1}}}).status, 400);
    EXPECT_EQ(call(endpoint, Records, nlohmann::json::array()).status, 400);
    EXPECT_EQ(call(endpoint, "/v1/streams/UPPER/records").status, 404);
    EXPECT_TRUE(log.records("s").empty());
}
