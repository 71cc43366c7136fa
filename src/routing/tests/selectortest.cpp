#include "framework/frameworkmodule.h"
#include "framework/irandom.h"
#include "routing/routingmodule.h"
#include "routing/testing/fakemembership.h"
#include "routing/testing/routingvalues.h"
#include "routing/types/routing.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

using namespace lavendertally;
using namespace lavendertally::routing;
using framework::HostId;
using framework::Milliseconds;
using framework::TimePoint;

namespace {

const framework::ServiceId Service("generator");
const TimePoint Start(100000);

protocol::LoadReport warm(std::uint32_t running, std::uint32_t limit)
{
    return makeLoad(running, limit);
}

protocol::LoadReport cold(std::uint32_t running, std::uint32_t limit)
{
    return makeLoad(running, limit, true);
}

RoutingQuery query()
{
    return makeQuery(Service, framework::AvailabilityZoneId("z0"));
}

/// One entry in zone z0; addBackendHosts() spreads its hosts evenly over the zones z0, z1, ...
class SelectorTest : public testing::Test
{
protected:
    void addBackendHosts(int count, int zones = 1)
    {
        for (int index = 0; index < count; ++index) {
            m_membership.addBackendHost(Service, "w" + std::to_string(index),
                                        "z" + std::to_string(index % zones));
        }
    }
    /// Selects once first, since reports only count for hosts of a subset that has been derived.
    void reportAll(int count, const protocol::LoadReport &load)
    {
        select(query());
        for (int index = 0; index < count; ++index) {
            m_routing.selector->observeLoad(HostId("w" + std::to_string(index)), load, m_now);
        }
    }
    HostId select(const RoutingQuery &query)
    {
        return m_routing.selector->selectHost(query, m_now).value().id;
    }
    HostId start(const RoutingQuery &query)
    {
        const HostId host = select(query);
        m_routing.selector->callStarted(host, m_now);
        return host;
    }

    TimePoint m_now = Start;
    FakeMembership m_membership;
    std::unique_ptr<framework::IRandom> m_random = framework::FrameworkModule::makeRandom(1);
    Routing m_routing = RoutingModule::makeRouting(m_membership, *m_random, HostId("e0"));
};

} // namespace

TEST_F(SelectorTest, NoAdmittingHost_SelectionFails)
{
    addBackendHosts(1);
    RoutingQuery excluding = query();
    excluding.excluded.insert(HostId("w0"));
    EXPECT_FALSE(m_routing.selector->selectHost(excluding, m_now));
    m_membership.setAdmitting(HostId("w0"), false);
    EXPECT_FALSE(m_routing.selector->selectHost(query(), m_now));
}

TEST_F(SelectorTest, LocalHostsBusierThanRemote_RemoteHostsAreSelected)
{
    addBackendHosts(8, 4);
    reportAll(8, warm(0, 100));
    m_routing.selector->observeLoad(HostId("w0"), warm(5, 100), m_now);
    m_routing.selector->observeLoad(HostId("w4"), warm(5, 100), m_now);
    for (int call = 0; call < 100; ++call) {
        const HostId host = select(query());
        EXPECT_TRUE(host == HostId("w0") || host == HostId("w4")) << host;
    }
    m_routing.selector->observeLoad(HostId("w0"), warm(8, 10), m_now);
    m_routing.selector->observeLoad(HostId("w4"), warm(8, 10), m_now);
    for (int call = 0; call < 100; ++call) {
        const HostId host = select(query());
        EXPECT_FALSE(host == HostId("w0") || host == HostId("w4")) << host;
    }
}

TEST_F(SelectorTest, UnknownOrColdHost_GetsOneCallUntilReportShowsCapacity)
{
    addBackendHosts(4);
    reportAll(3, warm(9, 10));
    int toUnknown = 0;
    for (int call = 0; call < 50; ++call) {
        toUnknown += start(query()) == HostId("w3") ? 1 : 0;
    }
    EXPECT_EQ(toUnknown, 1);

    m_routing.selector->observeLoad(HostId("w3"), cold(1, 3), m_now);
    for (int call = 0; call < 50; ++call) {
        toUnknown += start(query()) == HostId("w3") ? 1 : 0;
    }
    EXPECT_EQ(toUnknown, 3);
}

TEST_F(SelectorTest, HostFailsRepeatedly_EjectionGrowsAndOneCallProbes)
{
    addBackendHosts(2);
    reportAll(2, warm(0, 10));
    const HostId failing("w0");
    m_routing.selector->observeFailure(failing, m_now);
    for (int call = 0; call < 50; ++call) {
        EXPECT_NE(start(query()), failing);
    }
    m_now = m_now + Milliseconds(500);
    int probes = 0;
    for (int call = 0; call < 50; ++call) {
        probes += start(query()) == failing ? 1 : 0;
    }
    EXPECT_EQ(probes, 1);
    m_routing.selector->callEnded(failing, m_now);
    m_routing.selector->observeFailure(failing, m_now);
    m_now = m_now + Milliseconds(499);
    for (int call = 0; call < 50; ++call) {
        EXPECT_NE(start(query()), failing);
    }
    m_routing.selector->observeLoad(failing, warm(0, 10), m_now);
    EXPECT_EQ(select(query()), failing);
}

TEST_F(SelectorTest, HostReturnsAfterItsLastCallEnded_IsUnknownAgain)
{
    addBackendHosts(2);
    reportAll(2, warm(0, 100));
    RoutingQuery onlyFirst = query();
    onlyFirst.excluded.insert(HostId("w1"));
    const HostId departed = start(onlyFirst);
    m_routing.selector->observeLoad(departed, warm(1, 100), m_now);
    m_membership.setAdmitting(departed, false);
    select(query());
    m_routing.selector->callEnded(departed, m_now);
    m_membership.setAdmitting(departed, false);
    select(query());

    m_membership.setAdmitting(departed, true);
    int calls = 0;
    for (int call = 0; call < 50; ++call) {
        calls += start(query()) == departed ? 1 : 0;
    }
    EXPECT_EQ(calls, 1);
}

TEST_F(SelectorTest, HostReturnsWhileCallInFlight_CallStillCounts)
{
    addBackendHosts(2);
    RoutingQuery onlyFirst = query();
    onlyFirst.excluded.insert(HostId("w1"));
    const HostId unreported = start(onlyFirst);
    m_routing.selector->observeLoad(HostId("w1"), warm(0, 100), m_now);
    m_membership.setAdmitting(unreported, false);
    select(query());
    m_membership.setAdmitting(unreported, true);
    for (int call = 0; call < 50; ++call) {
        EXPECT_NE(start(query()), unreported);
    }
}

TEST_F(SelectorTest, PrefixHostAboveLoadBound_CallsGoToOtherHosts)
{
    addBackendHosts(5);
    reportAll(5, warm(0, 10));
    RoutingQuery prefixed = query();
    prefixed.prefixHash = 42;
    const HostId preferred = start(prefixed);
    for (int call = 0; call < 3; ++call) {
        EXPECT_EQ(start(prefixed), preferred);
    }

    std::map<HostId, int> calls;
    for (int call = 0; call < 40; ++call) {
        ++calls[start(prefixed)];
    }
    for (const auto &[host, count] : calls) {
        EXPECT_LE(count, 12) << host;
    }
}

TEST_F(SelectorTest, ManyPrefixes_EachKeepsItsHost)
{
    addBackendHosts(5);
    reportAll(5, warm(0, 100));
    std::map<std::uint64_t, HostId> preferred;
    std::set<HostId> used;
    RoutingQuery prefixed = query();
    for (int call = 0; call < 100; ++call) {
        prefixed.prefixHash = static_cast<std::uint64_t>(call % 20 + 1);
        const HostId host = start(prefixed);
        EXPECT_EQ(preferred.try_emplace(prefixed.prefixHash, host).first->second, host);
        used.insert(host);
    }
    EXPECT_EQ(used.size(), 5U);
}

TEST_F(SelectorTest, ColdOrStaleHosts_AreProbedInTurnWithinLimit)
{
    addBackendHosts(12);
    reportAll(12, warm(0, 10));
    select(query());
    m_routing.selector->observeLoad(HostId("w5"), cold(0, 1), m_now);
    m_now = m_now + Milliseconds(300);
    const auto early = m_routing.probes->hostsToProbe(m_now);
    ASSERT_EQ(early.size(), 1U);
    EXPECT_EQ(early[0].id, HostId("w5"));

    m_now = m_now + Milliseconds(1000);
    std::set<HostId> probed;
    for (int round = 0; round < 3; ++round) {
        const auto hosts = m_routing.probes->hostsToProbe(m_now);
        EXPECT_LE(hosts.size(), 4U);
        for (const auto &host : hosts) {
            probed.insert(host.id);
        }
    }
    EXPECT_EQ(probed.size(), 12U);
}
