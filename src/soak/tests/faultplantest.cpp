#include "soak/internal/faultplan.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

using namespace lavendertally;
using namespace lavendertally::soak;

TEST(FaultPlan, SameSeedGivesTheSameFaults)
{
    SoakOptions options;
    options.seed = 7;
    const auto plan = makeFaultPlan(options);
    EXPECT_FALSE(plan.empty());
    EXPECT_EQ(makeFaultPlan(options), plan);
    options.seed = 8;
    EXPECT_NE(makeFaultPlan(options), plan);
}

TEST(FaultPlan, FaultsAreInOrderAndWithinTheTime)
{
    SoakOptions options;
    const auto plan = makeFaultPlan(options);
    EXPECT_TRUE(std::is_sorted(plan.begin(), plan.end(), [](const auto &one, const auto &other) {
        return one.at < other.at;
    }));
    EXPECT_LT(plan.back().at, options.duration);
}

TEST(FaultPlan, PlannedWorkKillsNothing)
{
    SoakOptions options;
    options.planned = true;
    options.duration = framework::Milliseconds(200000);
    std::set<FaultKind> kinds;
    for (const PlannedFault &fault : makeFaultPlan(options)) {
        kinds.insert(fault.kind);
    }
    EXPECT_FALSE(kinds.contains(FaultKind::GatewayKilled));
    EXPECT_FALSE(kinds.contains(FaultKind::StoreFault));
    EXPECT_TRUE(kinds.contains(FaultKind::GatewayStopped));
}
