#include "serving/idletimeouthistory.h"
#include "framework/testing/fakeclock.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>

using namespace lavendertally;
using namespace lavendertally::serving;
using framework::Milliseconds;

namespace {

class IdleTimeoutHistoryTest : public testing::Test
{
protected:
    void set(std::int64_t timeout) { m_history.set(Milliseconds(timeout), m_clock.now()); }
    std::int64_t longest() const { return m_history.longest(m_clock.now()).value(); }
    void advance(std::int64_t step) { m_clock.advance(Milliseconds(step)); }

    framework::FakeClock m_clock;
    IdleTimeoutHistory m_history;
};

} // namespace

TEST_F(IdleTimeoutHistoryTest, NothingWasReplaced_ConfiguredTimeoutHolds)
{
    EXPECT_EQ(longest(), 0);
    set(5000);
    EXPECT_EQ(longest(), 5000);
}

TEST_F(IdleTimeoutHistoryTest, TimeoutIsShortenedTwiceInQuickSuccession_FirstStillHolds)
{
    set(5000);
    set(2000);
    advance(100);
    set(1000);
    EXPECT_EQ(longest(), 5000);
}

TEST_F(IdleTimeoutHistoryTest, SameTimeoutIsSetAgain_ReplacedOneStillHolds)
{
    set(5000);
    set(1000);
    set(1000);
    EXPECT_EQ(longest(), 5000);
}

TEST_F(IdleTimeoutHistoryTest, ReplacedTimeoutHasPassed_ItHoldsNoLonger)
{
    set(5000);
    advance(100000);
    set(2000);
    advance(1000);
    set(1000);
    advance(3999);
    EXPECT_EQ(longest(), 5000);
    advance(1);
    EXPECT_EQ(longest(), 1000);
}

TEST_F(IdleTimeoutHistoryTest, ShorterTimeoutIsReplacedLater_ItHoldsAfterTheLongerOneHasPassed)
{
    set(5000);
    set(3000);
    advance(4000);
    set(1000);
    advance(1000);
    EXPECT_EQ(longest(), 3000);
    advance(2000);
    EXPECT_EQ(longest(), 1000);
}

TEST_F(IdleTimeoutHistoryTest, TimeoutIsLengthened_LongerOneHoldsAtOnce)
{
    set(1000);
    set(5000);
    EXPECT_EQ(longest(), 5000);
}

TEST_F(IdleTimeoutHistoryTest, TimeoutIsShortenedVeryOften_NoneHoldsTooShort)
{
    constexpr std::int64_t First = 100000;
    constexpr std::int64_t Changes = 100;
    constexpr std::int64_t Interval = 200;
    constexpr std::int64_t Step = 100;
    for (std::int64_t change = 0; change < Changes; ++change) {
        set(First - change * Step);
        advance(Interval);
    }
    set(1000);
    const std::int64_t start = m_clock.now().sinceEpoch();
    for (std::int64_t change = 0; change < Changes; ++change) {
        const std::int64_t timeout = First - change * Step;
        const std::int64_t replacedAt = (change + 1) * Interval;
        m_clock.set(framework::TimePoint(std::max(start, replacedAt + timeout - 1)));
        EXPECT_GE(longest(), timeout);
    }
    advance(First);
    EXPECT_EQ(longest(), 1000);
}
