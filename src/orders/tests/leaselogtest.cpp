#include "orders/internal/leaselog.h"
#include "orders/internal/leasejson.h"
#include "orders/types/leaselimits.h"
#include "orders/types/leaserecord.h"

#include <gtest/gtest.h>

using namespace lavendertally;
using namespace lavendertally::orders;

namespace {

constexpr framework::Milliseconds Duration{1000};

framework::LogOffset at(std::uint64_t offset)
{
    return framework::LogOffset(offset);
}

LeaseRecord lease(const char *holder, const LeaseBasis &basis)
{
    return {LeaseRecord::Kind::Lease, HolderId(holder), 1, basis, Duration};
}

LeaseRecord release(const char *holder, const LeaseBasis &basis)
{
    return {LeaseRecord::Kind::Release, HolderId(holder), 0, basis, {}};
}

LeaseBasis after(std::uint64_t offset)
{
    return {LeaseBasis::Kind::After, at(offset)};
}

const LeaseBasis OnNothing{LeaseBasis::Kind::Nothing, {}};
const LeaseBasis OnAnything{LeaseBasis::Kind::Anything, {}};

} // namespace

TEST(LeaseLogTest, FirstOfTwoRecordsOnTheSameBasisWins)
{
    LeaseLog log;
    EXPECT_TRUE(log.apply(at(0), lease("a", OnNothing)));
    EXPECT_FALSE(log.apply(at(1), lease("b", OnNothing)));
    EXPECT_TRUE(log.apply(at(2), lease("b", after(0))));
    EXPECT_FALSE(log.apply(at(3), lease("a", after(0))));
    EXPECT_EQ(log.lease()->holder, HolderId("b"));
    EXPECT_EQ(log.lease()->fencing, framework::FencingNumber(2));
}

TEST(LeaseLogTest, DoubledRecordCountsOnce)
{
    LeaseLog log;
    log.apply(at(0), lease("a", OnNothing));
    EXPECT_FALSE(log.apply(at(1), lease("a", OnNothing)));
    EXPECT_EQ(log.lease()->fencing, framework::FencingNumber(0));
}

TEST(LeaseLogTest, OnlyTheHolderReleases)
{
    LeaseLog log;
    log.apply(at(0), lease("a", OnNothing));
    EXPECT_FALSE(log.apply(at(1), release("b", after(0))));
    EXPECT_TRUE(log.apply(at(2), release("a", after(0))));
    EXPECT_FALSE(log.lease());
    EXPECT_EQ(log.nextBasis(), after(2));
}

TEST(LeaseLogTest, ReaderWithoutPrefixAgreesOnceARecordStandsOnAnything)
{
    LeaseLog whole;
    LeaseLog cut;
    cut.losePrefix();
    EXPECT_EQ(cut.nextBasis(), OnAnything);
    whole.apply(at(0), lease("a", OnNothing));
    for (LeaseLog *log : {&whole, &cut}) {
        log->apply(at(1), lease("a", after(0)));
    }
    EXPECT_FALSE(cut.lease());
    for (LeaseLog *log : {&whole, &cut}) {
        EXPECT_TRUE(log->apply(at(2), lease("b", OnAnything)));
        EXPECT_FALSE(log->apply(at(3), lease("a", after(1))));
        EXPECT_EQ(log->lease()->holder, HolderId("b"));
    }
}

TEST(LeaseLogTest, LeaseOfNoOrTooLongDurationIsVoid)
{
    LeaseLog log;
    LeaseRecord record = lease("a", OnNothing);
    record.duration = LeaseLimits::MaxDuration + framework::Milliseconds(1);
    EXPECT_FALSE(log.apply(at(0), record));
    record.duration = framework::Milliseconds(0);
    EXPECT_FALSE(log.apply(at(1), record));
}

TEST(LeaseJsonTest, RecordsComeBackAsTheyWere)
{
    for (const LeaseBasis &basis : {OnNothing, OnAnything, after(7)}) {
        EXPECT_EQ(decodeLeaseRecord(encodeLeaseRecord(lease("a", basis))), lease("a", basis));
        EXPECT_EQ(decodeLeaseRecord(encodeLeaseRecord(release("a", basis))), release("a", basis));
    }
}

TEST(LeaseJsonTest, OtherTextIsNoRecord)
{
    const std::string whole = encodeLeaseRecord(lease("a", OnNothing));
    for (std::size_t size = 0; size < whole.size(); ++size) {
        EXPECT_FALSE(decodeLeaseRecord(whole.substr(0, size))) << size;
    }
    EXPECT_FALSE(decodeLeaseRecord(
        R"({"kind":"lease","holder":"a","attempt":-1,"after":null,"duration_ms":5})"));
    EXPECT_FALSE(decodeLeaseRecord(
        R"({"kind":"lease","holder":"a","attempt":1,"after":"some","duration_ms":5})"));
}
