#include "admission/tests/placefleet.h"

#include <gtest/gtest.h>

using namespace lavendertally::admission;
using lavendertally::framework::Milliseconds;

namespace {

/// Four servers with four slots and answers of 100 ms: 160 requests a second.
constexpr std::int64_t FullIntervalUs = 6250;

CallerKind kindEvery(std::int64_t intervalUs)
{
    CallerKind kind;
    kind.intervalUs = intervalUs;
    return kind;
}

/// Each load is played with several seeds.
class PlaceAdmissionTest : public testing::TestWithParam<std::uint64_t>
{
protected:
    static PlaceFleet::Options options()
    {
        PlaceFleet::Options options;
        options.seed = GetParam();
        return options;
    }
};

INSTANTIATE_TEST_SUITE_P(Seeds, PlaceAdmissionTest, testing::Values(1, 2, 3, 4));

} // namespace

// Load: a quarter of what the servers take. Guards against requests that wait though places are
// free.
TEST_P(PlaceAdmissionTest, QuietDay_EveryRequestGoesOnAtOnce)
{
    PlaceFleet fleet(options());
    fleet.setKinds({kindEvery(FullIntervalUs * 4)});
    fleet.run(5000);
    EXPECT_EQ(fleet.result(0).refusals, 0U);
    EXPECT_EQ(fleet.decisionsOtherThanRun(), 0U);
    EXPECT_EQ(fleet.serverRefusals(), 0U);
}

// Load: the kind has 60 requests a second on four servers, then 180 on two of them for 4 s, then 60
// on four again. Guards against servers kept busy with requests that are answered too late, and
// against an overload that outlives its cause.
TEST_P(PlaceAdmissionTest, BurstOfThreeTimesTheTrafficOnHalfTheServers_CapacityIsUsedAndItRecovers)
{
    constexpr double HalfCapacityPerSecond = 80.0;
    constexpr std::int64_t BurstMs = 4000;
    PlaceFleet fleet(options());
    const CallerKind usual = kindEvery(16'667);
    fleet.setKinds({usual});
    fleet.run(2000);
    fleet.finish();
    EXPECT_GE(fleet.result(0).servedShare(), 0.99);
    fleet.resetResults();
    fleet.setServers(2);
    fleet.setKinds({kindEvery(usual.intervalUs / 3)});
    fleet.run(BurstMs);
    const double possible = HalfCapacityPerSecond * BurstMs / 1000;
    EXPECT_GE(fleet.result(0).served, 0.9 * possible);
    // Callers have 1000 ms; who is not served in half of that must not be held longer.
    EXPECT_LE(fleet.result(0).longestHeldWithoutServiceMs, 950);
    fleet.setServers(4);
    fleet.setKinds({usual});
    // The last callers of the burst give up after 1000 ms; two answers later nothing is left of it.
    fleet.run(1200);
    fleet.resetResults();
    fleet.run(3000);
    fleet.finish();
    EXPECT_GE(fleet.result(0).servedShare(), 0.99);
    EXPECT_EQ(fleet.result(0).refusals, 0U);
}

// Load: 80 urgent and 240 less urgent requests a second where 160 can be served. Guards against the
// most urgent kind bearing the cost of an overload.
TEST_P(PlaceAdmissionTest, UrgentKindBesideLessUrgentOne_IsServedFirst)
{
    PlaceFleet fleet(options());
    CallerKind urgent = kindEvery(FullIntervalUs * 2);
    urgent.route = "urgent";
    CallerKind other = kindEvery(FullIntervalUs * 2 / 3);
    other.rank = 1;
    other.route = "other";
    fleet.setKinds({urgent, other});
    fleet.run(6000);
    fleet.finish();
    EXPECT_GE(fleet.result(0).servedShare(), 0.95);
    EXPECT_GE(fleet.result(0).servedShare(), fleet.result(1).servedShare());
    EXPECT_GE(fleet.result(1).served, 100U);
}

// Load: one team with 400 requests a second and three with 16 each, where 160 can be served. Guards
// against a large team that takes the places of small ones.
TEST_P(PlaceAdmissionTest, LargeTeamBesideSmallOnes_SmallOnesAreServed)
{
    PlaceFleet fleet(options());
    CallerKind large = kindEvery(2500);
    large.team = "large";
    std::vector<CallerKind> kinds = {large};
    for (const char *name : {"a", "b", "c"}) {
        CallerKind small = kindEvery(62'500);
        small.team = name;
        kinds.push_back(small);
    }
    fleet.setKinds(kinds);
    fleet.run(6000);
    fleet.finish();
    for (std::size_t kind = 1; kind < kinds.size(); ++kind) {
        EXPECT_GE(fleet.result(kind).servedShare(), 0.9) << kinds[kind].team;
    }
    // What the small ones leave is used.
    EXPECT_GE(fleet.result(0).served, 0.8 * (160 - 48) * 6);
}

// Load: one kind with twice the traffic that can be served; a tenth of its requests takes 400 ms,
// the others 66 ms. Guards against the largest tenth being starved or served at others' expense.
TEST_P(PlaceAdmissionTest, LargestTenthOfAKind_GetsItsPart)
{
    PlaceFleet fleet(options());
    CallerKind usual = kindEvery(FullIntervalUs / 2 * 10 / 9);
    usual.serviceMs = 66;
    CallerKind large = kindEvery(FullIntervalUs / 2 * 10);
    large.serviceMs = 400;
    fleet.setKinds({usual, large});
    fleet.run(8000);
    fleet.finish();
    EXPECT_GE(fleet.result(1).servedShare(), 0.5 * fleet.result(0).servedShare());
    EXPECT_LE(fleet.result(1).servedShare(), 1.2 * fleet.result(0).servedShare());
    EXPECT_GE(fleet.result(0).servedShare(), 0.35);
}

// Load: 270 requests a second where 160 can be served; half of the callers ignore Retry-After and
// return every 20 ms. Guards against a gain from that.
TEST_P(PlaceAdmissionTest, CallersThatIgnoreRetryAfter_GainNothing)
{
    PlaceFleet fleet(options());
    CallerKind heeds = kindEvery(7400);
    heeds.timeGivenMs = 2000;
    CallerKind ignores = heeds;
    ignores.heedsRetryAfter = false;
    fleet.setKinds({heeds, ignores});
    fleet.run(24'000);
    fleet.finish();
    EXPECT_GE(fleet.result(0).servedShare(), fleet.result(1).servedShare());
    EXPECT_GT(fleet.result(0).returnsOnTime, 0U);
}

// Load: 200 requests a second where 160 can be served, and one of four gateways dies. Guards
// against closed connections of requests that had been passed on beyond those at the servers, and
// against a part of the capacity that stays unused afterwards.
TEST_P(PlaceAdmissionTest, GatewayDiesWithItsQueue_OthersUseItsPart)
{
    PlaceFleet fleet(options());
    fleet.setKinds({kindEvery(5000)});
    fleet.run(3000);
    fleet.killGateway(0);
    // No more calls of one gateway can be cut than the servers hold.
    EXPECT_LE(fleet.result(0).closedPassedOn, 16U);
    fleet.run(500);
    fleet.resetResults();
    fleet.run(3000);
    EXPECT_GE(fleet.result(0).served, 0.9 * 160 * 3);
}

// Load: 150 requests a second where 160 can be served; reports stop. Guards against gateways that
// admit nothing, or everything, once they know nothing of the others' load.
TEST_P(PlaceAdmissionTest, ReportsStop_ServiceGoesOn)
{
    PlaceFleet fleet(options());
    fleet.setKinds({kindEvery(FullIntervalUs)});
    fleet.run(3000);
    fleet.stopReports();
    fleet.run(1500);
    fleet.resetResults();
    fleet.setKinds({kindEvery(FullIntervalUs * 16 / 15)});
    fleet.run(3000);
    fleet.finish();
    EXPECT_GE(fleet.result(0).servedShare(), 0.85);
}

// Load: 16 gateways start at once and get 300 requests within 150 ms where the servers hold 16 at
// once and queue 16. Guards against gateways that fill the servers with all that waited, since none
// has seen a report.
TEST_P(PlaceAdmissionTest, AllGatewaysStartAtOnce_AdmitByWhatIsThere)
{
    PlaceFleet::Options many = options();
    many.gateways = 16;
    PlaceFleet fleet(many);
    fleet.setKinds({kindEvery(500)});
    fleet.run(150);
    EXPECT_LE(fleet.serverRefusals(), 16U);
    fleet.setKinds({kindEvery(FullIntervalUs * 2)});
    fleet.run(2000);
    fleet.finish();
    // Within their 1000 ms, 160 requests a second can be served.
    EXPECT_GE(fleet.result(0).served, 0.8 * 160);
}
