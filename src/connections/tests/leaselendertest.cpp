#include "connections/internal/leaselender.h"

#include <gtest/gtest.h>

using namespace lavendertally;
using namespace lavendertally::connections;

namespace {

constexpr std::uint32_t Lendable = 10;
constexpr framework::TimePoint Start(1000000);
const ConnectionLimits Limits;
const framework::DaemonId Borrower("g1");
const framework::DaemonId Other("g2");

protocol::ConnectionLease wish(std::uint32_t held, std::uint32_t wanted)
{
    return {{"127.0.0.1", 7000}, framework::ServiceId("plain"), held, wanted};
}

} // namespace

/// Guards against lending the same connection twice.
TEST(LeaseLenderTest, OthersHaveBorrowed_OnlyTheRestIsLent)
{
    LeaseLender lender(Limits);
    EXPECT_EQ(lender.lend(Borrower, wish(0, 7), Lendable, Start), 7U);
    EXPECT_EQ(lender.lend(Other, wish(0, 7), Lendable, Start), 3U);
    EXPECT_EQ(lender.lend(Borrower, wish(7, 8), Lendable, Start), 7U);
}

/// Guards against connections of a gateway that is frozen or cut off with calls under way.
TEST(LeaseLenderTest, BorrowerFallsSilent_ItsConnectionsCountUntilItsCallsHaveEnded)
{
    LeaseLender lender(Limits);
    lender.lend(Borrower, wish(0, 10), Lendable, Start);
    const framework::TimePoint lapsed = Start + Limits.leaseTime + Limits.maxCallTime;
    EXPECT_EQ(lender.lend(Other, wish(0, 1), Lendable, lapsed - framework::Milliseconds(1)), 0U);
    EXPECT_EQ(lender.lend(Other, wish(0, 1), Lendable, lapsed), 1U);
}

/// Guards against lending what the borrower still holds or may still use until it hears the answer.
TEST(LeaseLenderTest, BorrowerWantsLess_WhatItHoldsOrWantsStillCounts)
{
    LeaseLender lender(Limits);
    lender.lend(Borrower, wish(0, 10), Lendable, Start);
    lender.lend(Borrower, wish(6, 2), Lendable, Start);
    EXPECT_EQ(lender.lend(Other, wish(0, 10), Lendable, Start), 4U);
    // The lendable part has fallen: nothing is granted, but the borrower does not know yet.
    EXPECT_EQ(lender.lend(Borrower, wish(0, 5), 0, Start), 0U);
    EXPECT_EQ(lender.lend(Other, wish(0, 10), Lendable, Start), 5U);
}

TEST(LeaseLenderTest, BorrowerGivesBack_AllIsLentAgain)
{
    LeaseLender lender(Limits);
    lender.lend(Borrower, wish(0, 10), Lendable, Start);
    lender.lend(Borrower, wish(0, 0), Lendable, Start);
    EXPECT_EQ(lender.lend(Other, wish(0, 10), Lendable, Start), 10U);
}

/// Guards against a delayed request that replaces a newer one.
TEST(LeaseLenderTest, RequestIsOlderThanAnother_IsNotAccepted)
{
    LeaseLender lender(Limits);
    EXPECT_TRUE(lender.accepts(Borrower, 5));
    EXPECT_FALSE(lender.accepts(Borrower, 5));
    EXPECT_FALSE(lender.accepts(Borrower, 4));
    EXPECT_TRUE(lender.accepts(Other, 4));
    EXPECT_TRUE(lender.accepts(Borrower, 6));
}

/// Guards against memory that grows with each server that was ever asked for.
TEST(LeaseLenderTest, NothingIsLent_ServerIsForgotten)
{
    LeaseLender lender(Limits);
    lender.lend(Borrower, wish(0, 1), 0, Start);
    lender.lend(Borrower, wish(0, 0), Lendable, Start);
    EXPECT_EQ(lender.lentServers(), 0U);
    lender.lend(Borrower, wish(0, 1), Lendable, Start);
    EXPECT_EQ(lender.lentServers(), 1U);
    lender.expire(Start + Limits.leaseTime + Limits.maxCallTime);
    EXPECT_EQ(lender.lentServers(), 0U);
}
