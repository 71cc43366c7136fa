#include "framework/dependencyorder.h"

#include <gtest/gtest.h>

using namespace lavendertally::framework;

using Positions = std::vector<std::size_t>;

TEST(DependencyOrder, NothingHasToMove_OrderStays)
{
    EXPECT_EQ(dependencyOrder({{}, {0}, {}, {0, 2}}), (Positions{0, 1, 2, 3}));
    EXPECT_EQ(dependencyOrder({}), Positions());
}

TEST(DependencyOrder, PredecessorsComeLater_EachIsPlacedAfterThem)
{
    EXPECT_EQ(dependencyOrder({{2, 1}, {}, {1}}), (Positions{1, 2, 0}));
    EXPECT_EQ(dependencyOrder({{3}, {}, {}, {}}), (Positions{1, 2, 3, 0}));
}

TEST(DependencyOrder, PredecessorDoesNotExist_IsIgnored)
{
    EXPECT_EQ(dependencyOrder({{7}, {0}}), (Positions{0, 1}));
    EXPECT_EQ(findDependencyCycle({{7}, {0}}), Positions());
}

TEST(DependencyOrder, Cycle_IsLeftOutWithWhatWaitsForIt)
{
    const std::vector<Positions> graph = {{2}, {3}, {1}, {1, 4}, {}};
    EXPECT_EQ(dependencyOrder(graph), Positions{4});
    EXPECT_EQ(findDependencyCycle(graph), (Positions{1, 3}));
    EXPECT_EQ(findDependencyCycle({{0}}), Positions{0});
}
