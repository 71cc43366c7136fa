#include "replication/topicreplica.h"
#include "replication/tests/recordingobserver.h"
#include "replication/types/topicchanges.h"

#include <gtest/gtest.h>

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
    for (std::uint64_t offset = 2; offset < 3002; ++offset) {
        const std::string key = offset == 2 ? "key" : "x" + std::to_string(offset);
        records.push_back(tombstone(offset, key.c_str()));
    }
    m_replica.append(records, LogOffset(2), LogOffset(3002), TimePoint(20));
    EXPECT_LT(m_replica.changesSince(LogOffset(1500)).records.size(), 2000U);
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
        bool isNewer(const protocol::TopicRecord & /*known*/,
                     const protocol::TopicRecord & /*restored*/) const override
        {
            return false;
        }
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
    m_replica.replace({put(8, "a", "5")}, LogOffset(9), TimePoint(10), framework::StoreEra(1));
    m_replica.replace({put(2, "a", "3")}, LogOffset(3), TimePoint(20), framework::StoreEra(2));
    EXPECT_EQ(m_observer.state, (State{{"a", "5"}}));
    EXPECT_EQ(m_replica.changesSince(std::nullopt).records.at(0).value, "5");
}
