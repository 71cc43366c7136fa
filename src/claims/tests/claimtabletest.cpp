#include "claims/internal/claimtable.h"
#include "claims/claimsmodule.h"
#include "claims/iclaimrecordcodec.h"
#include "claims/internal/claimcontext.h"
#include "claims/internal/claimreader.h"
#include "claims/internal/irecordsink.h"
#include "claims/types/claimerror.h"
#include "framework/asyncerror.h"
#include "framework/frameworkmodule.h"
#include "framework/imetrics.h"
#include "framework/irandom.h"
#include "framework/testing/fakeclock.h"
#include "framework/testing/fakescheduler.h"
#include "infrastructure/ilogservice.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace lavendertally::claims;
using namespace lavendertally::framework;
using namespace lavendertally::infrastructure;

namespace {

const ClaimSettings settings;

ClaimMade makeClaim(const std::string &request, const std::string &id, TimePoint madeAt)
{
    const ClaimKey key{TeamId("t"), RequestId(request), StageId("s")};
    return {key, ClaimId(id), DaemonId("d"), madeAt, madeAt};
}

/// Log service whose first read omits the record at offset 1.
class LogWithGap final : public ILogService
{
public:
    explicit LogWithGap(std::vector<std::string> records) : m_records(std::move(records)) { }

    void append(const StreamName &, std::vector<std::string>, Milliseconds,
                std::function<void(Result<LogOffset>)>) override
    { }
    void read(const StreamName &, LogOffset from, std::uint32_t, Milliseconds, Milliseconds,
              std::function<void(Result<LogPage>)> callback) override
    {
        LogPage page;
        for (std::uint64_t offset = from.value(); offset < m_records.size(); ++offset) {
            const bool isOmitted = m_reads == 0 && offset == 1;
            if (!isOmitted) {
                page.records.push_back({LogOffset(offset), m_records[offset]});
            }
        }
        ++m_reads;
        callback(page);
    }

private:
    std::vector<std::string> m_records;
    int m_reads = 0;
};

/// Sink that stops reading after a fixed number of records.
class CountingSink final : public IRecordSink
{
public:
    explicit CountingSink(std::size_t wanted) : m_wanted(wanted) { }

    void reset() override { }
    void onRecord(const ClaimRecord &record) override
    {
        received.push_back(std::get<ClaimMade>(record).id.value());
    }
    bool wantsMore() override { return received.size() < m_wanted; }

    std::vector<std::string> received;

private:
    std::size_t m_wanted;
};

} // namespace

TEST(ClaimTableTest, RecordTimesPassTheWindow_OldKeysAreRemoved)
{
    ClaimTable table(settings);
    const TimePoint start(1'000'000);
    table.apply(makeClaim("r1", "c1", start));
    const Milliseconds window = settings.claimWindow;
    table.apply(makeClaim("r2", "c2", start + window * 2));
    EXPECT_EQ(table.size(), 2U);
    table.apply(makeClaim("r3", "c3", start + window * 3));
    EXPECT_EQ(table.size(), 2U);
}

TEST(ClaimTableTest, ClaimMadeOutsideItsWindow_HasNoEffect)
{
    ClaimTable table(settings);
    ClaimMade late = makeClaim("r1", "c1", TimePoint(1'000'000));
    late.madeAt = late.issuedAt + settings.claimWindow + Milliseconds(1);
    ClaimMade early = makeClaim("r1", "c2", TimePoint(1'000'000));
    early.madeAt = early.issuedAt - settings.clockSkew - Milliseconds(1);
    table.apply(late);
    table.apply(early);
    EXPECT_EQ(table.size(), 0U);
}

TEST(ClaimTableTest, DoneRecordFromNonHolder_HasNoEffect)
{
    ClaimTable table(settings);
    const ClaimMade holder = makeClaim("r1", "c1", TimePoint(1'000'000));
    const ClaimMade other = makeClaim("r1", "c2", TimePoint(1'000'000));
    table.apply(holder);
    table.apply(other);
    table.apply(StageDone{holder.key, other.id, "wrong"});
    EXPECT_EQ(table.status(holder.key, holder.id), ClaimStatus::Holds);
    table.apply(StageDone{holder.key, holder.id, "right"});
    table.apply(StageDone{holder.key, holder.id, "doubled"});
    EXPECT_EQ(table.done(holder.key)->result, "right");
}

TEST(ClaimTableTest, DuplicateClaimAfterRelease_DoesNotHoldTheKey)
{
    ClaimTable table(settings);
    const ClaimMade made = makeClaim("r1", "c1", TimePoint(1'000'000));
    table.apply(made);
    table.apply(ClaimReleased{made.key, made.id, made.issuedAt});
    table.apply(made);
    EXPECT_EQ(table.status(made.key, made.id), ClaimStatus::Free);
}

TEST(ClaimReaderTest, RecordMissingFromAPage_IsReadAgainAndNotSkipped)
{
    const auto codec = ClaimsModule::makeJsonCodec();
    std::vector<std::string> records;
    for (const char *id : {"c0", "c1", "c2"}) {
        records.push_back(*codec->encode(makeClaim("r1", id, TimePoint(1'000'000))));
    }
    records.insert(records.begin() + 2, "not JSON");
    LogWithGap log(records);
    FakeClock clock;
    FakeScheduler scheduler(clock);
    const auto random = FrameworkModule::makeRandom(1);
    const auto metrics = FrameworkModule::makeMetrics();
    const ClaimContext context{log,      scheduler, clock,         *random,
                               *metrics, *codec,    DaemonId("d"), settings};
    CountingSink sink(records.size() - 1);
    ClaimReader reader(StreamName("claims.00"), context, sink);
    reader.start();
    scheduler.advance(settings.maxBackoff);
    EXPECT_EQ(sink.received, (std::vector<std::string>{"c0", "c1", "c2"}));
}

TEST(ClaimCodec, RecordsRoundTrip_MalformedTextIsRejected)
{
    const auto codec = ClaimsModule::makeJsonCodec();
    const ClaimMade made = makeClaim("r\"1", "c1", TimePoint(5));
    for (const ClaimRecord &record :
         {ClaimRecord(made), ClaimRecord(StageDone{made.key, made.id, "{\"a\":1}\n"}),
          ClaimRecord(StageDone{made.key, made.id, std::nullopt}),
          ClaimRecord(ClaimReleased{made.key, made.id, made.issuedAt})}) {
        EXPECT_EQ(*codec->decode(*codec->encode(record)), record);
    }
    for (const char *malformed : {"", "{}", "[1]", "{\"kind\":\"claim\"}", "\xff\xfe"}) {
        EXPECT_FALSE(codec->decode(malformed)) << malformed;
    }
}
