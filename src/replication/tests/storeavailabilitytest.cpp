#include "replication/storeavailability.h"

#include <gtest/gtest.h>

using namespace lavendertally;
using namespace lavendertally::replication;
using framework::Milliseconds;
using framework::TimePoint;

namespace {

constexpr TimePoint Start(100000);
constexpr Milliseconds ReadInterval{1000};
constexpr Milliseconds Moment{100};

} // namespace

/// Guards against servers that have left and are kept, since the trouble of one gateway counted as
/// an outage of the store.
class StoreAvailabilityTest : public testing::Test
{
protected:
    StoreAvailabilityTest() { m_availability.noteOwnAnswer(Start, Start); }
    bool sawOutage() const { return m_availability.lastOutage().has_value(); }

    StoreAvailability m_availability;
};

TEST_F(StoreAvailabilityTest, ConnectionsAreResetBetweenTwoReads_IsNoOutage)
{
    m_availability.noteTrouble();
    m_availability.noteTrouble();
    const TimePoint retried = Start + ReadInterval + Milliseconds(250);
    m_availability.noteOwnAnswer(retried, retried + Moment);
    EXPECT_FALSE(sawOutage());
}

TEST_F(StoreAvailabilityTest, PeersAreAnsweredAllTheWhile_IsNoOutage)
{
    TimePoint now = Start;
    for (int reads = 0; reads < 6; ++reads) {
        m_availability.noteTrouble();
        now = now + ReadInterval;
        m_availability.noteAnswered(now - Milliseconds(200));
    }
    m_availability.noteOwnAnswer(now, now + Moment);
    EXPECT_FALSE(sawOutage());
}

TEST_F(StoreAvailabilityTest, NoCallFails_PauseBetweenCallsIsNoOutage)
{
    const TimePoint now = Start + Milliseconds(60000);
    m_availability.noteOwnAnswer(now, now + Moment);
    EXPECT_FALSE(sawOutage());
}

TEST_F(StoreAvailabilityTest, FirstCallsFail_IsNoOutage)
{
    StoreAvailability fresh;
    fresh.noteTrouble();
    fresh.noteOwnAnswer(Start + MinStoreOutage, Start + MinStoreOutage);
    EXPECT_FALSE(fresh.lastOutage());
}

TEST_F(StoreAvailabilityTest, NobodyIsAnsweredForTwoHeartbeats_OutageCountsFromTheLastAnswer)
{
    const TimePoint lastOfPeer = Start + Milliseconds(300);
    m_availability.noteAnswered(lastOfPeer);
    m_availability.noteAnswered(Start);
    m_availability.noteTrouble();
    const TimePoint asked = lastOfPeer + MinStoreOutage;
    m_availability.noteOwnAnswer(asked, asked + Moment);
    ASSERT_TRUE(sawOutage());
    EXPECT_EQ(m_availability.lastOutage()->began, lastOfPeer);
    EXPECT_EQ(m_availability.lastOutage()->ended, asked + Moment);
    EXPECT_EQ(m_availability.lastOutage()->length(), MinStoreOutage + Moment);
}

TEST_F(StoreAvailabilityTest, CallHangsAndIsAnsweredLate_IsAnOutage)
{
    const TimePoint answered = Start + Milliseconds(2400);
    m_availability.noteTrouble();
    m_availability.noteOwnAnswer(Start + ReadInterval, answered);
    EXPECT_TRUE(sawOutage());
}
