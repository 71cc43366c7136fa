#include "replication/topicreplica.h"
#include "replication/tests/recordingobserver.h"
#include "replication/types/topicchanges.h"

#include <gtest/gtest.h>

#include <sstream>

using namespace lavendertally;
using namespace lavendertally::replication;
using framework::LogOffset;
using framework::TimePoint;

namespace {

protocol::TopicRecord put(std::uint64_t offset, const char *key, const char *value)
{
    return {LogOffset(offset), key, value};
}

protocol::TopicRecord tombstone(std::uint64_t offset, const char *key)
{
    return {LogOffset(offset), key, std::nullopt};
}

using State = std::map<std::string, std::string>;

/// \return the version in a value like "7", or "2.7 draining" with an incarnation
std::optional<protocol::RecordVersion> readVersion(const std::string &value)
{
    std::istringstream in(value);
    std::uint64_t first = 0;
    std::uint64_t second = 0;
    char dot = 0;
    if (!(in >> first)) {
        return std::nullopt;
    }
    return in.get(dot) && dot == '.' && in >> second
        ? protocol::RecordVersion{framework::Incarnation(first), framework::ReportNumber(second)}
        : protocol::RecordVersion{{}, framework::ReportNumber(first)};
}

} // namespace

class TopicReplicaTest : public testing::Test
{
protected:
    /// Brings \p target up to date from \p source, as one daemon does from another.
    void synchronize(const TopicReplica &source, TopicReplica &target, TimePoint confirmed)
    {
        const auto from = target.isLoaded() ? std::optional(target.next()) : std::nullopt;
        const TopicChanges changes = source.changesSince(from);
        if (changes.isComplete) {
            target.replace(changes.records, changes.next, confirmed);
        } else {
            target.append(changes.records, *from, changes.next, confirmed);
        }
    }

    RecordingObserver m_observer;
    TopicReplica m_replica{m_observer};
};

TEST_F(TopicReplicaTest, AppendBeforeFirstSnapshot_IsIgnored)
{
    m_replica.append({put(0, "a", "1")}, LogOffset(0), LogOffset(1), TimePoint(10));
    EXPECT_FALSE(m_replica.isLoaded());
    EXPECT_EQ(m_observer.recordCount, 0);
}

TEST_F(TopicReplicaTest, AppendsOverlap_EachRecordIsDeliveredOnce)
{
    m_replica.replace({put(3, "a", "1")}, LogOffset(4), TimePoint(10));
    m_replica.append({put(4, "b", "2"), put(5, "a", "3")}, LogOffset(4), LogOffset(6),
                     TimePoint(20));
    m_replica.append({put(4, "b", "2"), put(5, "a", "3"), put(6, "c", "4")}, LogOffset(4),
                     LogOffset(7), TimePoint(15));
    EXPECT_EQ(m_observer.state, (State{{"a", "3"}, {"b", "2"}, {"c", "4"}}));
    EXPECT_EQ(m_observer.recordCount, 4);
    EXPECT_EQ(m_replica.next(), LogOffset(7));
    EXPECT_EQ(m_replica.confirmedAt(), TimePoint(20));
}

TEST_F(TopicReplicaTest, SnapshotOlderOrGapBeforeChanges_IsIgnored)
{
    m_replica.replace({put(3, "a", "1")}, LogOffset(9), TimePoint(10));
    m_replica.replace({put(2, "a", "0")}, LogOffset(5), TimePoint(30));
    m_replica.append({put(12, "a", "5")}, LogOffset(12), LogOffset(13), TimePoint(40));
    EXPECT_EQ(m_observer.state, (State{{"a", "1"}}));
    EXPECT_EQ(m_replica.next(), LogOffset(9));
    EXPECT_EQ(m_replica.confirmedAt(), TimePoint(10));
}

TEST_F(TopicReplicaTest, FollowerHasOlderState_GetsOnlyMissingChanges)
{
    m_replica.replace({put(3, "a", "1"), put(1, "b", "2")}, LogOffset(4), TimePoint(10));
    RecordingObserver followerObserver;
    TopicReplica follower(followerObserver);
    synchronize(m_replica, follower, TimePoint(11));
    EXPECT_EQ(followerObserver.state, m_observer.state);
    m_replica.append({put(4, "c", "3"), tombstone(5, "a"), put(6, "c", "4")}, LogOffset(4),
                     LogOffset(7), TimePoint(20));
    synchronize(m_replica, follower, TimePoint(21));
    EXPECT_EQ(followerObserver.state, (State{{"b", "2"}, {"c", "4"}}));
    EXPECT_EQ(followerObserver.snapshotCount, 1);
    EXPECT_EQ(follower.next(), LogOffset(7));
}

TEST_F(TopicReplicaTest, FollowerOlderThanHistory_GetsSnapshotAndRemovesDeletedKeys)
{
    RecordingObserver followerObserver;
    TopicReplica follower(followerObserver);
    follower.replace({put(1, "a", "1")}, LogOffset(2), TimePoint(5));
    m_replica.replace({put(3, "b", "2")}, LogOffset(4), TimePoint(10));
    EXPECT_TRUE(m_replica.changesSince(LogOffset(2)).isComplete);
    synchronize(m_replica, follower, TimePoint(11));
    EXPECT_EQ(followerObserver.state, (State{{"b", "2"}}));
}

TEST_F(TopicReplicaTest, TombstonesPurged_FollowerStillRemovesDeletedKeys)
{
    m_replica.replace({put(0, "kept", "1")}, LogOffset(1), TimePoint(10));
    RecordingObserver followerObserver;
    TopicReplica follower(followerObserver);
    synchronize(m_replica, follower, TimePoint(10));
    m_replica.append({put(1, "key", "1")}, LogOffset(1), LogOffset(2), TimePoint(10));
    synchronize(m_replica, follower, TimePoint(11));
    std::vector<protocol::TopicRecord> records;
    for (std::uint64_t offset = 2; offset < 20002; ++offset) {
        const std::string key = offset == 2 ? "key" : "x" + std::to_string(offset);
        records.push_back(tombstone(offset, key.c_str()));
    }
    m_replica.append(records, LogOffset(2), LogOffset(20002), TimePoint(20));
    EXPECT_LT(m_replica.changesSince(LogOffset(1500)).records.size(), 10000U);
    synchronize(m_replica, follower, TimePoint(21));
    EXPECT_EQ(followerObserver.state, (State{{"kept", "1"}}));
}

TEST_F(TopicReplicaTest, RecordChangesNothing_IsNotPassedOn)
{
    m_replica.replace({put(0, "a", "1"), put(1, "b", "1")}, LogOffset(2), TimePoint(10));
    m_replica.append({put(2, "a", "1"), put(3, "a", "1")}, LogOffset(2), LogOffset(4),
                     TimePoint(20));
    EXPECT_EQ(m_replica.lastChangeEnd(), LogOffset(2));
    EXPECT_TRUE(m_replica.changesSince(LogOffset(2)).records.empty());
    m_replica.append({put(4, "b", "2")}, LogOffset(4), LogOffset(5), TimePoint(30));
    EXPECT_EQ(m_replica.lastChangeEnd(), LogOffset(5));
    EXPECT_EQ(m_replica.changesSince(LogOffset(2)).records,
              (std::vector<protocol::TopicRecord>{put(4, "b", "2")}));
}

TEST_F(TopicReplicaTest, DeletedKeyRestored_IsPassedOnAlthoughObserverReportsNoChange)
{
    class RetainingObserver final : public ITopicObserver
    {
    public:
        void onSnapshot(const std::vector<protocol::TopicRecord> & /*records*/) override { }
        bool onRecord(const protocol::TopicRecord &record) override
        {
            // Retains deleted keys, so restoring one changes nothing here.
            return !record.value;
        }
        void onConfirmed(TimePoint /*instant*/) override { }
        void onSourceRecovered() override { }
        void onStoreRestored() override { }
        std::optional<protocol::RecordVersion>
        version(const protocol::TopicRecord & /*record*/) const override
        {
            return std::nullopt;
        }
        bool areRecordsRenewed() const override { return false; }
        void onOutdated(const protocol::TopicRecord & /*record*/) override { }
    };
    RetainingObserver observer;
    TopicReplica source(observer);
    source.replace({put(0, "a", "1")}, LogOffset(1), TimePoint(10));
    RecordingObserver followerObserver;
    TopicReplica follower(followerObserver);
    synchronize(source, follower, TimePoint(11));
    source.append({tombstone(1, "a")}, LogOffset(1), LogOffset(2), TimePoint(20));
    synchronize(source, follower, TimePoint(21));
    EXPECT_TRUE(followerObserver.state.empty());
    source.append({put(2, "a", "1")}, LogOffset(2), LogOffset(3), TimePoint(30));
    EXPECT_EQ(source.lastChangeEnd(), LogOffset(3));
    synchronize(source, follower, TimePoint(31));
    EXPECT_EQ(followerObserver.state, (State{{"a", "1"}}));
}

TEST_F(TopicReplicaTest, StoreRestored_SnapshotOfNewEraReplacesStateWithHigherOffsets)
{
    m_replica.replace({put(8, "a", "1"), put(9, "b", "1")}, LogOffset(10), TimePoint(10),
                      framework::StoreEra(1));
    EXPECT_TRUE(
        m_replica.replace({put(2, "a", "2")}, LogOffset(3), TimePoint(20), framework::StoreEra(2)));
    EXPECT_EQ(m_observer.state, (State{{"a", "2"}}));
    EXPECT_EQ(m_observer.restoreCount, 1);
    EXPECT_EQ(m_observer.recoveryCount, 1);
    m_replica.append({put(3, "b", "3")}, LogOffset(3), LogOffset(4), TimePoint(30),
                     framework::StoreEra(2));
    EXPECT_EQ(m_observer.state, (State{{"a", "2"}, {"b", "3"}}));
}

TEST_F(TopicReplicaTest, EarlierEraHasHigherOffsets_IsIgnored)
{
    m_replica.replace({put(2, "a", "2")}, LogOffset(3), TimePoint(20), framework::StoreEra(2));
    EXPECT_FALSE(
        m_replica.replace({put(8, "a", "1")}, LogOffset(9), TimePoint(30), framework::StoreEra(1)));
    m_replica.append({put(3, "a", "1")}, LogOffset(3), LogOffset(9), TimePoint(30),
                     framework::StoreEra(1));
    EXPECT_EQ(m_observer.state, (State{{"a", "2"}}));
    EXPECT_EQ(m_replica.next(), LogOffset(3));
    EXPECT_EQ(m_replica.confirmedAt(), TimePoint(20));
}

TEST_F(TopicReplicaTest, RestoredRecordIsOlderByContent_KnownOneStaysAndIsPassedOn)
{
    m_observer.readVersion = readVersion;
    m_replica.replace({put(8, "a", "5")}, LogOffset(9), TimePoint(10), framework::StoreEra(1));
    m_replica.replace({put(2, "a", "3")}, LogOffset(3), TimePoint(20), framework::StoreEra(2));
    EXPECT_EQ(m_observer.state, (State{{"a", "5"}}));
    EXPECT_EQ(m_replica.changesSince(std::nullopt).records.at(0).value, "5");
}

/// Guards against servers that drain or have left and are used again, since the store executed one
/// of their reports late.
class LateRecordTest : public TopicReplicaTest
{
protected:
    LateRecordTest()
    {
        m_observer.readVersion = readVersion;
        m_followerObserver.readVersion = readVersion;
        m_replica.replace({put(0, "a", "2.1 ready")}, LogOffset(1), TimePoint(10));
        synchronize(m_replica, m_follower, TimePoint(11));
        // Heartbeats, which the follower does not get.
        for (const char *value : {"2.2 ready", "2.3 ready", "2.4 ready"}) {
            append(value);
        }
    }
    /// Has the reader read one record more; nothing for a deletion.
    void append(const std::optional<std::string> &value)
    {
        const LogOffset at = m_replica.next();
        m_now = m_now + framework::Milliseconds(1200);
        m_replica.append({{at, "a", value}}, at, at.next(), m_now);
    }
    /// Makes the follower's history too old, so that it gets the whole state.
    void dropHistory()
    {
        m_replica.replace(m_replica.changesSince(std::nullopt).records, m_replica.next(), m_now);
    }
    void follow() { synchronize(m_replica, m_follower, m_now); }

    TimePoint m_now{1000};
    RecordingObserver m_followerObserver;
    TopicReplica m_follower{m_followerObserver};
};

TEST_F(LateRecordTest, ReportLandsAfterDrainingOne_FollowersGetTheDrainingOne)
{
    append("2.6 draining");
    append("2.5 ready");
    follow();
    EXPECT_EQ(m_observer.state, (State{{"a", "2.6 draining"}}));
    EXPECT_EQ(m_followerObserver.state, (State{{"a", "2.6 draining"}}));
    append("2.4 ready");
    follow();
    EXPECT_EQ(m_followerObserver.state, (State{{"a", "2.6 draining"}}));
    dropHistory();
    follow();
    EXPECT_EQ(m_followerObserver.state, (State{{"a", "2.6 draining"}}));
    EXPECT_GT(m_observer.outdatedCount, 0);
}

TEST_F(LateRecordTest, ReportLandsAfterRemoval_FollowersDoNotGetItFromAnyReader)
{
    append(std::nullopt);
    follow();
    append("2.3 ready");
    follow();
    EXPECT_TRUE(m_observer.state.empty());
    EXPECT_TRUE(m_followerObserver.state.empty());
    // The follower has been told which reports were known, so a reader that knows less than the
    // first one does not mislead it.
    m_follower.append({put(m_follower.next().value(), "a", "2.4 ready")}, m_follower.next(),
                      m_follower.next().next(), m_now);
    EXPECT_TRUE(m_followerObserver.state.empty());
    m_replica.append({}, m_replica.next(), m_follower.next(), m_now);
    append("2.5 ready");
    follow();
    EXPECT_EQ(m_followerObserver.state, (State{{"a", "2.5 ready"}})) << "it is alive";
}

TEST_F(LateRecordTest, WholeStateIsHandedOn_VersionsOfDeletedKeysAreAmongIt)
{
    append(std::nullopt);
    dropHistory();
    follow();
    EXPECT_TRUE(m_followerObserver.state.empty());
    m_follower.append({put(m_follower.next().value(), "a", "2.4 ready")}, m_follower.next(),
                      m_follower.next().next(), m_now);
    EXPECT_TRUE(m_followerObserver.state.empty());
}

TEST_F(LateRecordTest, NewestRecordIsALateOne_KnownStateStaysAndIsPassedOn)
{
    append("2.6 draining");
    m_replica.replace({put(20, "a", "2.5 ready")}, LogOffset(21), m_now);
    follow();
    EXPECT_EQ(m_observer.state, (State{{"a", "2.6 draining"}}));
    EXPECT_EQ(m_followerObserver.state, (State{{"a", "2.6 draining"}}));
    append(std::nullopt);
    m_replica.replace({put(30, "a", "2.5 ready")}, LogOffset(31), m_now);
    follow();
    EXPECT_TRUE(m_observer.state.empty());
    EXPECT_TRUE(m_followerObserver.state.empty());
}

TEST_F(LateRecordTest, NewestRecordOfStoreIsOlderThanKnown_KeyIsDoneWithoutUntilItIsRenewed)
{
    m_observer.isRenewed = true;
    follow();
    // In the history that was dropped, the key may have been deleted.
    m_replica.replace({put(20, "a", "2.3 ready")}, LogOffset(21), m_now, framework::StoreEra(0),
                      SnapshotOrigin::Store);
    follow();
    EXPECT_TRUE(m_observer.state.empty());
    EXPECT_TRUE(m_followerObserver.state.empty());
    append("2.5 ready");
    follow();
    EXPECT_EQ(m_observer.state, (State{{"a", "2.5 ready"}}));
    EXPECT_EQ(m_followerObserver.state, (State{{"a", "2.5 ready"}}));
}

TEST_F(LateRecordTest, DaemonStartsAfterALateReport_HistoryOfAPeerTellsThatTheKeyWasDeleted)
{
    append(std::nullopt);
    append("2.3 ready");
    RecordingObserver freshObserver;
    freshObserver.readVersion = readVersion;
    freshObserver.isRenewed = true;
    TopicReplica fresh(freshObserver);
    fresh.replace({put(m_replica.next().value() - 1, "a", "2.3 ready")}, m_replica.next(), m_now,
                  framework::StoreEra(0), SnapshotOrigin::Store);
    ASSERT_FALSE(freshObserver.state.empty());
    const auto from = fresh.historyToCompare();
    ASSERT_TRUE(from);
    const TopicChanges changes = m_replica.changesSince(from);
    fresh.append(changes.records, fresh.next(), changes.next, m_now);
    EXPECT_TRUE(freshObserver.state.empty());
    append("2.5 ready");
    synchronize(m_replica, fresh, m_now);
    EXPECT_EQ(freshObserver.state, (State{{"a", "2.5 ready"}}));
}

TEST_F(LateRecordTest, StoreIsBackFromCopy_OlderReportsChangeNothing)
{
    const auto restore = [this](std::vector<protocol::TopicRecord> records) {
        m_now = m_now + framework::Milliseconds(1200);
        const framework::StoreEra era = m_replica.era().next();
        ASSERT_TRUE(m_replica.replace(std::move(records), LogOffset(1), m_now, era));
        m_follower.replace(m_replica.changesSince(std::nullopt).records, LogOffset(1), m_now, era);
    };
    const auto expect = [this](const State &state) {
        EXPECT_EQ(m_observer.state, state);
        EXPECT_EQ(m_followerObserver.state, state);
    };
    append("2.5 draining");
    restore({put(0, "a", "2.4 ready")});
    expect({{"a", "2.5 draining"}});
    restore({});
    expect({});
    restore({put(0, "a", "2.4 ready")});
    expect({});
    restore({put(0, "a", "2.5 draining")});
    expect({});
    restore({put(0, "a", "2.6 ready")});
    expect({{"a", "2.6 ready"}});
    restore({});
    restore({put(0, "a", "3.1 ready")});
    expect({{"a", "3.1 ready"}});
}

TEST_F(LateRecordTest, KeyIsMissingFromNewestRecords_ItsLateReportIsIgnored)
{
    m_replica.replace({}, LogOffset(20), m_now);
    append("2.4 ready");
    EXPECT_TRUE(m_observer.state.empty());
}

TEST_F(LateRecordTest, ReportOfEarlierIncarnationLands_LaterOneStays)
{
    append("3.1 ready at another address");
    append("2.5 ready");
    follow();
    EXPECT_EQ(m_followerObserver.state, (State{{"a", "3.1 ready at another address"}}));
    append(std::nullopt);
    append("2.6 ready");
    follow();
    EXPECT_TRUE(m_observer.state.empty());
    EXPECT_TRUE(m_followerObserver.state.empty());
    append("4.1 ready");
    follow();
    EXPECT_EQ(m_followerObserver.state, (State{{"a", "4.1 ready"}})) << "it has started again";
}

TEST_F(LateRecordTest, FollowerBeginsToRead_EarlierHeartbeatsTellItWhatIsLate)
{
    const LogOffset from(1);
    m_follower.append({}, m_follower.next(), m_replica.next(), m_now);
    EXPECT_EQ(m_follower.nextAt(TimePoint(500)), from);
    m_follower.append({put(1, "a", "2.2 ready"), put(2, "a", "2.3 ready"), put(3, "a", "2.4 ready"),
                       tombstone(4, "a"), put(5, "a", "2.3 ready")},
                      from, LogOffset(6), m_now);
    EXPECT_TRUE(m_followerObserver.state.empty());
    EXPECT_EQ(m_follower.next(), LogOffset(6));
}

TEST_F(LateRecordTest, DeletedKeyIsReadAgain_ItStaysDeletedAndItsVersionIsKnown)
{
    m_follower.replace({}, LogOffset(5), m_now);
    m_follower.append({put(3, "b", "2.9 ready"), tombstone(4, "b"), put(5, "b", "2.8 ready")},
                      LogOffset(3), LogOffset(6), m_now);
    EXPECT_TRUE(m_followerObserver.state.empty());
}

TEST_F(LateRecordTest, WriterGoesOnWithLowerNumbers_ItCountsAfterTheTimeOfLateWrites)
{
    append("1.1 ready, clock set back");
    const TimePoint first = m_now;
    for (int number = 2; m_now - first < framework::Milliseconds(9000); ++number) {
        append("1." + std::to_string(number) + " ready, clock set back");
        EXPECT_EQ(m_observer.state, (State{{"a", "2.4 ready"}}));
    }
    append("1.20 ready, clock set back");
    append("1.21 ready, clock set back");
    follow();
    EXPECT_EQ(m_followerObserver.state, (State{{"a", "1.21 ready, clock set back"}}));
    append("1.20 ready, late");
    follow();
    EXPECT_EQ(m_followerObserver.state, (State{{"a", "1.21 ready, clock set back"}}));
}

/// A configuration that cannot be read and names no version, or an odd entry of a server.
TEST_F(LateRecordTest, RecordWithoutVersionIsKnown_EarlierOneIsNotAppliedAndOlderOneStaysOutdated)
{
    RecordingObserver observer;
    observer.readVersion = readVersion;
    TopicReplica replica(observer);
    replica.replace({put(9, "a", "unreadable")}, LogOffset(10), TimePoint(1));
    replica.append({put(5, "a", "7")}, LogOffset(5), LogOffset(10), TimePoint(2));
    EXPECT_EQ(observer.state, (State{{"a", "unreadable"}}));
    replica.append({put(10, "a", "6")}, LogOffset(10), LogOffset(11), TimePoint(3));
    EXPECT_EQ(observer.state, (State{{"a", "unreadable"}}));
    replica.append({put(11, "a", "8")}, LogOffset(11), LogOffset(12), TimePoint(4));
    EXPECT_EQ(observer.state, (State{{"a", "8"}}));
}
