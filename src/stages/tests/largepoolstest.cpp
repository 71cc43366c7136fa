#include "stages/testing/largepools.h"
#include "framework/frameworkmodule.h"
#include "framework/irandom.h"
#include "ratelimit/testing/testratelimits.h"
#include "stages/stagesmodule.h"
#include "stages/testing/stageloadsimulation.h"

#include <gtest/gtest.h>

using namespace lavendertally;
using namespace lavendertally::stages;

/// What clients get from pools with over a hundred backend servers, below and above their capacity.
class LargePoolsTest : public testing::Test
{
protected:
    static constexpr std::uint64_t Seed = 20261204;
    static constexpr framework::Milliseconds Duration{6000};

    std::map<std::string, StageLoadResult> play(double load)
    {
        const auto random = framework::FrameworkModule::makeRandom(Seed);
        const auto coordinator = StagesModule::makeCoordinator(m_pools.serving(), m_pools.servers(),
                                                               m_rateLimits.limits());
        StageLoadSimulation simulation(m_pools.serving(), *coordinator);
        simulation.run(LargePools::arrivals(*random, load, Duration));
        return simulation.byRoute();
    }
    static double share(std::size_t part, std::size_t whole)
    {
        return static_cast<double>(part) / static_cast<double>(whole);
    }

    LargePools m_pools;
    ratelimit::TestRateLimits m_rateLimits;
};

TEST_F(LargePoolsTest, UsualLoad_AllJobsAreServedInTime)
{
    for (const auto &[route, result] : play(1.0)) {
        EXPECT_GE(share(result.inTime, result.submitted), 0.99) << route;
    }
}

TEST_F(LargePoolsTest, Overload_RestIsRefusedBeforeItsObjective)
{
    for (const auto &[route, result] : play(3.0)) {
        EXPECT_EQ(result.submitted, result.inTime + result.late + result.refused) << route;
        EXPECT_EQ(result.refusedLate, 0U) << route;
        EXPECT_LE(share(result.late, result.submitted), 0.1) << route;
    }
}

TEST_F(LargePoolsTest, Overload_MoreUrgentRoutesAreServedAtLeastAsOften)
{
    const auto results = play(3.0);
    const auto served = [&results](const char *route) {
        const StageLoadResult &result = results.at(route);
        return share(result.inTime, result.submitted);
    };
    EXPECT_GE(served("urgent"), served("background"));
    EXPECT_GE(served("urgent"), 0.4);
}
