#include "peers/internal/linkdepth.h"

#include <gtest/gtest.h>

using namespace lavendertally::peers;

namespace {

constexpr LinkCandidate Sound{true, true, true};
constexpr LinkCandidate Down{false, false, false};
constexpr LinkCandidate ShuttingDown{true, false, true};
constexpr LinkCandidate TurnedAway{true, true, false};
constexpr std::size_t MaxReachable = 8;
constexpr std::size_t FleetSize = 100;

/// A fleet of sound daemons that begins with others.
std::vector<LinkCandidate> fleet(std::vector<LinkCandidate> head)
{
    head.resize(FleetSize, Sound);
    return head;
}

} // namespace

TEST(LinkDepthTest, AllDaemonsSound_FirstThreeAreLinked)
{
    EXPECT_EQ(linkDepth(fleet({}), MaxReachable), 3U);
}

TEST(LinkDepthTest, FirstDaemonsDown_AsManyMoreAreLinked)
{
    EXPECT_EQ(linkDepth(fleet({Down, Down}), MaxReachable), 5U);
}

TEST(LinkDepthTest, FirstDaemonsShutDown_ThreeThatTakeJobsAreLinked)
{
    EXPECT_EQ(linkDepth(fleet({ShuttingDown, Sound, ShuttingDown}), MaxReachable), 5U);
}

TEST(LinkDepthTest, StoreTurnsFirstDaemonsAway_LinksReachOneThatItServes)
{
    EXPECT_EQ(linkDepth(fleet({TurnedAway, TurnedAway, TurnedAway, TurnedAway}), MaxReachable), 5U);
}

TEST(LinkDepthTest, StoreAwayForAll_NumberOfReachableLinksIsBounded)
{
    const std::vector<LinkCandidate> all(FleetSize, TurnedAway);
    EXPECT_EQ(linkDepth(all, MaxReachable), MaxReachable);
}

TEST(LinkDepthTest, SmallFleet_AllAreLinked)
{
    EXPECT_EQ(linkDepth({Sound, Down}, MaxReachable), 2U);
}
