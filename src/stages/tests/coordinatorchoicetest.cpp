#include "stages/internal/coordinatorchoice.h"

#include <gtest/gtest.h>

using namespace lavendertally;
using namespace lavendertally::stages;
using framework::DaemonId;
using framework::TimePoint;

namespace {

const DaemonId A("a");
const DaemonId B("b");
const DaemonId C("c");
const DaemonId None;

CoordinatorCandidate usable(const DaemonId &daemon, std::int64_t start)
{
    return {daemon, true, false, TimePoint(start)};
}

CoordinatorCandidate inStartupGrace(const DaemonId &daemon)
{
    return {daemon, false, true, TimePoint::never()};
}

} // namespace

TEST(CoordinatorChoice, DaemonsStartedTogether_FirstInRankingIsChosen)
{
    EXPECT_EQ(chooseCoordinator({usable(A, 1500), usable(B, 0), usable(C, 700)}, None), A);
}

TEST(CoordinatorChoice, DaemonRestarted_DoesNotTakeRoleBack)
{
    EXPECT_EQ(chooseCoordinator({usable(A, 9000), usable(B, 0), usable(C, 700)}, B), B);
}

TEST(CoordinatorChoice, DaemonInStartupGrace_PostponesChoiceOnlyIfItPrecedesUsableOnes)
{
    EXPECT_EQ(chooseCoordinator({inStartupGrace(A), usable(B, 0)}, None), std::nullopt);
    EXPECT_EQ(chooseCoordinator({usable(A, 0), inStartupGrace(B)}, None), A);
}

TEST(CoordinatorChoice, DaemonInStartupGracePrecedesUsableOnes_UsableCurrentCoordinatorIsKept)
{
    EXPECT_EQ(chooseCoordinator({inStartupGrace(A), usable(B, 0)}, B), B);
    EXPECT_EQ(chooseCoordinator({inStartupGrace(A), usable(B, 0)}, C), std::nullopt)
        << "the current coordinator C is not a candidate";
}

TEST(CoordinatorChoice, NoUsableDaemon_NoneIsChosen)
{
    EXPECT_EQ(chooseCoordinator({}, A), std::nullopt);
    EXPECT_EQ(chooseCoordinator({inStartupGrace(A)}, None), std::nullopt);
}
