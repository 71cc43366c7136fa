#include "framework/frameworkmodule.h"
#include "framework/irandom.h"
#include "membership/testing/fakebackendservers.h"
#include "ratelimit/testing/testratelimits.h"
#include "routing/ibackendserverselector.h"
#include "routing/iserverfilter.h"
#include "routing/routingmodule.h"
#include "routing/types/serverquery.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

using namespace lavendertally;
using namespace lavendertally::routing;

namespace {

constexpr framework::TimePoint Start(100000);
constexpr std::uint64_t Seed = 7;
const framework::ServiceId Service("models");

/// Rejects one backend server and records the calls.
class RejectingFilter final : public IServerFilter
{
public:
    void restrict(const ServerQuery & /*query*/,
                  std::vector<const membership::BackendServerEntry *> &candidates,
                  framework::TimePoint /*now*/) override
    {
        std::erase_if(candidates,
                      [](const auto *entry) { return entry->id.value() == "rejected"; });
    }
    void callStarted(const membership::BackendServerEntry &server,
                     framework::TimePoint /*now*/) override
    {
        m_called.push_back(server.id.value());
    }

    std::vector<std::string> m_called;
};

} // namespace

class BackendServerSelectorTest : public testing::Test
{
protected:
    BackendServerSelectorTest()
        : m_random(framework::FrameworkModule::makeRandom(Seed)),
          m_selector(
              RoutingModule::makeBackendServerSelector(m_servers, m_rateLimits.limits(), *m_random))
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
    std::string select(const ServerQuery &serverQuery, framework::TimePoint now = Start)
    {
        const auto server = m_selector->select(serverQuery, now);
        return server ? server->id.value() : std::string("none");
    }
    static framework::BackendServerId id(const std::string &name)
    {
        return framework::BackendServerId(name);
    }

    void nameLimit(const char *server)
    {
        m_selector->observeRateLimit(id(server), framework::RequestRate(1000), Start, Start);
    }
    void givePermit(const char *server)
    {
        m_rateLimits.store().addPermits({{id(server), 1}}, Start);
    }

    membership::FakeBackendServers m_servers;
    ratelimit::TestRateLimits m_rateLimits;
    std::unique_ptr<framework::IRandom> m_random;
    std::unique_ptr<IBackendServerSelector> m_selector;
};

TEST_F(BackendServerSelectorTest, NoBackendServer_SelectionFails)
{
    EXPECT_EQ(select(query()), "none");
}

TEST_F(BackendServerSelectorTest, LocalServerBusierThanRemote_RemoteServerIsSelected)
{
    add("local", "za");
    add("remote", "zb");
    EXPECT_EQ(select(query()), "local");
    for (int calls = 0; calls < 4; ++calls) {
        m_selector->callStarted(id("local"), Start);
    }
    EXPECT_EQ(select(query()), "remote");
}

TEST_F(BackendServerSelectorTest, ServerReportsLoadOfOtherDaemons_LessLoadedServerIsSelected)
{
    add("a", "za");
    add("b", "za");
    m_selector->observeLoad(id("a"), {8, 0, 10}, Start);
    EXPECT_EQ(select(query()), "b");
}

TEST_F(BackendServerSelectorTest, ExcludedServer_IsNotSelected)
{
    add("a", "za");
    add("b", "zb");
    ServerQuery excluding = query();
    excluding.excluded = {id("a")};
    EXPECT_EQ(select(excluding), "b");
    excluding.excluded.insert(id("b"));
    EXPECT_EQ(select(excluding), "none");
}

TEST_F(BackendServerSelectorTest, PromptPrefixes_KeepTheirServerAndSpreadOverAllServers)
{
    for (const char *name : {"a", "b", "c", "d"}) {
        add(name, "za");
    }
    std::set<std::string> used;
    for (std::uint64_t prompt = 1; prompt <= 20; ++prompt) {
        ServerQuery prefixed = query();
        prefixed.prefixHash = prompt * 7919;
        const std::string first = select(prefixed);
        EXPECT_EQ(select(prefixed), first);
        used.insert(first);
    }
    EXPECT_EQ(used.size(), 4U);
}

TEST_F(BackendServerSelectorTest, ServerAboveLoadBound_LosesItsPromptPrefix)
{
    add("a", "za");
    add("b", "za");
    ServerQuery prefixed = query();
    prefixed.prefixHash = 42;
    const std::string first = select(prefixed);
    for (int calls = 0; calls < 8; ++calls) {
        m_selector->callStarted(id(first), Start);
    }
    EXPECT_NE(select(prefixed), first);
}

TEST_F(BackendServerSelectorTest, TransportFailure_ServerIsEjectedForMinEjection)
{
    add("a", "za");
    add("b", "zb");
    m_selector->callStarted(id("a"), Start);
    m_selector->callEnded(id("a"), CallOutcome::TransportFailed, Start);
    for (int calls = 0; calls < 5; ++calls) {
        m_selector->callStarted(id("b"), Start);
    }
    EXPECT_EQ(select(query(), Start + framework::Milliseconds(400)), "b");
    EXPECT_EQ(select(query(), Start + framework::Milliseconds(550)), "a");
}

TEST_F(BackendServerSelectorTest, OnlyServerIsEjected_IsStillSelected)
{
    add("a", "za");
    m_selector->callStarted(id("a"), Start);
    m_selector->callEnded(id("a"), CallOutcome::TransportFailed, Start);
    EXPECT_EQ(select(query()), "a");
}

TEST_F(BackendServerSelectorTest, ResponseOverdue_ServerIsEjectedUntilItResponds)
{
    add("a", "za");
    add("b", "zb");
    m_selector->callStarted(id("a"), Start);
    const framework::TimePoint later = Start + framework::Milliseconds(700);
    EXPECT_EQ(select(query(), later), "b");
    m_selector->responseStarted(id("a"), Start, later);
    EXPECT_EQ(select(query(), later), "a");
}

TEST_F(BackendServerSelectorTest, LocalServerFailsItsCalls_RemoteServerIsSelected)
{
    add("failing", "za");
    add("healthy", "zb");
    for (int call = 0; call < 10; ++call) {
        m_selector->callStarted(id("failing"), Start);
        m_selector->callEnded(id("failing"), CallOutcome::Failed, Start);
    }
    EXPECT_EQ(select(query()), "healthy");
}

TEST_F(BackendServerSelectorTest, ServerInColdStart_GetsNoMoreThanItsRate)
{
    membership::BackendServerEntry cold;
    cold.id = id("cold");
    cold.service = Service;
    cold.zone = framework::AvailabilityZoneId("za");
    cold.coldUntil = Start + framework::Milliseconds(10000);
    m_servers.add(cold);
    ServerQuery limited = query();
    limited.coldStartRate = 4.0;
    int sent = 0;
    for (int step = 0; step < 200; ++step) {
        sent += select(limited, Start + framework::Milliseconds(step * 5)) == "cold" ? 1 : 0;
    }
    EXPECT_LE(sent, 5);
    EXPECT_GE(sent, 4);
    EXPECT_EQ(select(limited, cold.coldUntil), "cold");
}

TEST_F(BackendServerSelectorTest, ServerLimitsItsRequests_GetsOneForEachPermit)
{
    add("limited", "za");
    add("free", "zb");
    nameLimit("limited");
    EXPECT_EQ(select(query()), "free");
    givePermit("limited");
    EXPECT_EQ(select(query()), "limited");
    m_selector->callStarted(id("limited"), Start);
    EXPECT_EQ(select(query()), "free");
}

TEST_F(BackendServerSelectorTest, SelectionWithoutCall_UsesNoPermit)
{
    add("limited", "za");
    nameLimit("limited");
    givePermit("limited");
    EXPECT_EQ(select(query()), "limited");
    EXPECT_EQ(select(query()), "limited");
}

TEST_F(BackendServerSelectorTest, AllServersLimitTheirRequests_NoneIsSelectedAndIntervalIsKnown)
{
    add("a", "za");
    add("b", "za");
    EXPECT_FALSE(m_selector->rateLimitedInterval(Service));
    nameLimit("a");
    nameLimit("b");
    EXPECT_EQ(select(query()), "none");
    EXPECT_EQ(m_selector->rateLimitedInterval(Service), framework::Milliseconds(500));
}

TEST_F(BackendServerSelectorTest, PreferredServerIsBusy_PermitOfIdleOneIsUsed)
{
    add("busy", "za");
    add("limited", "zb");
    nameLimit("limited");
    givePermit("limited");
    EXPECT_EQ(select(query()), "busy");
    for (int call = 0; call < 3; ++call) {
        m_selector->callStarted(id("busy"), Start);
    }
    EXPECT_EQ(select(query()), "limited");
}

/// A filter that is not consulted would let calls reach backend servers that it forbids.
TEST_F(BackendServerSelectorTest, FilterRejectsServer_ItIsNeverSelected)
{
    RejectingFilter filter;
    m_selector = RoutingModule::makeBackendServerSelector(m_servers, m_rateLimits.limits(),
                                                          *m_random, {&filter});
    add("rejected", "za");
    add("other", "zb");
    EXPECT_EQ(select(query()), "other");
    m_selector->callStarted(id("other"), Start);
    EXPECT_EQ(filter.m_called, std::vector<std::string>{"other"});
    m_servers.remove(id("other"));
    EXPECT_EQ(select(query()), "none");
}
