#include "framework/frameworkmodule.h"
#include "framework/irandom.h"
#include "membership/testing/fakebackendservers.h"
#include "routing/ibackendserverselector.h"
#include "routing/routingmodule.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

using namespace lavendertally;
using namespace lavendertally::routing;

namespace {

constexpr framework::TimePoint Start(100000);
constexpr std::uint64_t Seed = 7;
const framework::ServiceId Service("models");

} // namespace

class BackendServerSelectorTest : public testing::Test
{
protected:
    BackendServerSelectorTest()
        : m_random(framework::FrameworkModule::makeRandom(Seed)),
          m_selector(RoutingModule::makeBackendServerSelector(m_servers, *m_random))
    { }

    void add(const char *id, const char *zone, std::uint32_t slots = 10)
    {
        membership::BackendServerEntry entry;
        entry.id = framework::BackendServerId(id);
        entry.service = Service;
        entry.zone = framework::AvailabilityZoneId(zone);
        entry.slots = slots;
        m_servers.add(entry);
    }
    static ServerQuery query()
    {
        ServerQuery result;
        result.service = Service;
        result.zone = framework::AvailabilityZoneId("za");
        return result;
    }
    std::string choose(const ServerQuery &what, framework::TimePoint now = Start)
    {
        const auto server = m_selector->select(what, now);
        return server ? server->id.value() : std::string("none");
    }
    static framework::BackendServerId id(const std::string &name)
    {
        return framework::BackendServerId(name);
    }

    membership::FakeBackendServers m_servers;
    std::unique_ptr<framework::IRandom> m_random;
    std::unique_ptr<IBackendServerSelector> m_selector;
};

TEST_F(BackendServerSelectorTest, NoServerIsAnError)
{
    EXPECT_EQ(choose(query()), "none");
}

TEST_F(BackendServerSelectorTest, OwnZoneFirstUntilItIsBusier)
{
    add("near", "za");
    add("far", "zb");
    EXPECT_EQ(choose(query()), "near");
    for (int calls = 0; calls < 4; ++calls) {
        m_selector->callStarted(id("near"), Start);
    }
    EXPECT_EQ(choose(query()), "far");
}

TEST_F(BackendServerSelectorTest, StatedLoadOfOthersCounts)
{
    add("a", "za");
    add("b", "za");
    m_selector->observeLoad(id("a"), {8, 0, 10}, Start);
    EXPECT_EQ(choose(query()), "b");
}

TEST_F(BackendServerSelectorTest, ExcludedServerIsNotChosenAgain)
{
    add("a", "za");
    add("b", "zb");
    ServerQuery second = query();
    second.excluded = {id("a")};
    EXPECT_EQ(choose(second), "b");
    second.excluded.insert(id("b"));
    EXPECT_EQ(choose(second), "none");
}

TEST_F(BackendServerSelectorTest, SharedPromptsMeetAgainAndSpread)
{
    for (const char *name : {"a", "b", "c", "d"}) {
        add(name, "za");
    }
    std::set<std::string> used;
    for (std::uint64_t prompt = 1; prompt <= 20; ++prompt) {
        ServerQuery what = query();
        what.prefixHash = prompt * 7919;
        const std::string first = choose(what);
        EXPECT_EQ(choose(what), first);
        used.insert(first);
    }
    EXPECT_EQ(used.size(), 4U);
}

TEST_F(BackendServerSelectorTest, BusyServerLosesItsSharedPrompts)
{
    add("a", "za");
    add("b", "za");
    ServerQuery what = query();
    what.prefixHash = 42;
    const std::string first = choose(what);
    for (int calls = 0; calls < 8; ++calls) {
        m_selector->callStarted(id(first), Start);
    }
    EXPECT_NE(choose(what), first);
}

TEST_F(BackendServerSelectorTest, BrokenCallsTakeAServerOutOfTheWay)
{
    add("a", "za");
    add("b", "zb");
    m_selector->callStarted(id("a"), Start);
    m_selector->callEnded(id("a"), CallOutcome::TransportFailed, Start);
    for (int calls = 0; calls < 5; ++calls) {
        m_selector->callStarted(id("b"), Start);
    }
    EXPECT_EQ(choose(query(), Start + framework::Milliseconds(400)), "b");
    EXPECT_EQ(choose(query(), Start + framework::Milliseconds(550)), "a");
}

TEST_F(BackendServerSelectorTest, TheOnlyServerIsUsedAlthoughItBroke)
{
    add("a", "za");
    m_selector->callStarted(id("a"), Start);
    m_selector->callEnded(id("a"), CallOutcome::TransportFailed, Start);
    EXPECT_EQ(choose(query()), "a");
}

TEST_F(BackendServerSelectorTest, ServerThatOwesAnAnswerIsAvoided)
{
    add("a", "za");
    add("b", "zb");
    m_selector->callStarted(id("a"), Start);
    const framework::TimePoint later = Start + framework::Milliseconds(700);
    EXPECT_EQ(choose(query(), later), "b");
    m_selector->responseStarted(id("a"), Start, later);
    EXPECT_EQ(choose(query(), later), "a");
}

TEST_F(BackendServerSelectorTest, GreyServerGetsLess)
{
    add("grey", "za");
    add("sound", "zb");
    for (int call = 0; call < 10; ++call) {
        m_selector->callStarted(id("grey"), Start);
        m_selector->callEnded(id("grey"), CallOutcome::Failed, Start);
    }
    EXPECT_EQ(choose(query()), "sound");
}

TEST_F(BackendServerSelectorTest, ColdServerGetsNoMoreThanItsRate)
{
    membership::BackendServerEntry cold;
    cold.id = id("cold");
    cold.service = Service;
    cold.zone = framework::AvailabilityZoneId("za");
    cold.coldUntil = Start + framework::Milliseconds(10000);
    m_servers.add(cold);
    ServerQuery what = query();
    what.coldStartRate = 4.0;
    int sent = 0;
    for (int step = 0; step < 200; ++step) {
        sent += choose(what, Start + framework::Milliseconds(step * 5)) == "cold" ? 1 : 0;
    }
    EXPECT_LE(sent, 5);
    EXPECT_GE(sent, 4);
    EXPECT_EQ(choose(what, cold.coldUntil), "cold");
}
