#include "peers/peersmodule.h"
#include "peers/types/daemonaddress.h"
#include "peers/types/daemonregistration.h"

#include <gtest/gtest.h>

#include <string>

using namespace lavendertally;
using namespace lavendertally::peers;

namespace {

DaemonRegistration daemon(const char *name, std::int64_t millicores, std::uint64_t joined)
{
    return {{framework::DaemonId(name), {"127.0.0.1", 7000}},
            framework::Millicores(millicores),
            framework::LogOffset(joined)};
}

std::string ranking(std::vector<DaemonRegistration> registrations)
{
    std::string names;
    for (const DaemonAddress &address : PeersModule::rank(std::move(registrations))) {
        names += address.daemon.value() + " ";
    }
    return names;
}

} // namespace

TEST(DaemonRankingTest, SmallDaemonsRegisteredFirst_LargeOnesLead)
{
    EXPECT_EQ(ranking({daemon("small1", 90, 0), daemon("small2", 90, 1), daemon("large1", 500, 2),
                       daemon("large2", 500, 3)}),
              "large1 large2 small1 small2 ");
}

TEST(DaemonRankingTest, DaemonsOfSameCapacity_AreOrderedByFirstRegistration)
{
    EXPECT_EQ(ranking({daemon("c", 190, 9), daemon("a", 190, 3), daemon("b", 190, 5)}), "a b c ");
}

TEST(DaemonRankingTest, DaemonsAdded_OrderOfOthersStays)
{
    EXPECT_EQ(ranking({daemon("large1", 500, 2), daemon("new", 500, 40), daemon("small", 90, 0)}),
              "large1 new small ");
}

TEST(DaemonRankingTest, DaemonWithoutCapacity_ComesLast)
{
    EXPECT_EQ(ranking({daemon("older", 0, 0), daemon("small", 90, 7)}), "small older ");
}

TEST(DaemonRankingTest, TwoDaemonsWithSameOffset_OrderDoesNotDependOnListing)
{
    EXPECT_EQ(ranking({daemon("b", 190, 3), daemon("a", 190, 3)}), "a b ");
    EXPECT_EQ(ranking({daemon("a", 190, 3), daemon("b", 190, 3)}), "a b ");
}
