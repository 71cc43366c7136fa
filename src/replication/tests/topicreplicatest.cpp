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

protocol::TopicRecord dropped(std::uint64_t offset, const char *key)
{
    return {LogOffset(offset), key, std::nullopt};
}

using State = std::map<std::string, std::string>;

} // namespace

class TopicReplicaTest : public testing::Test
{
protected:
    /// Hands what \p from lacks to a second replica, as between daemons.
    void passOn(const TopicReplica &source, TopicReplica &target, TimePoint confirmed)
    {
        const auto from = target.isKnown() ? std::optional(target.next()) : std::nullopt;
        const TopicChanges changes = source.changesSince(from);
        if (changes.isComplete) {
            target.replace(changes.records, changes.next, confirmed);
        } else {
            target.append(changes.records, *from, changes.next, confirmed);
        }
    }

    RecordingObserver m_seen;
    TopicReplica m_replica{m_seen};
};

TEST_F(TopicReplicaTest, ChangesBeforeAnySnapshotAreNotTaken)
{
    m_replica.append({put(0, "a", "1")}, LogOffset(0), LogOffset(1), TimePoint(10));
    EXPECT_FALSE(m_replica.isKnown());
    EXPECT_EQ(m_seen.seen, 0);
}

TEST_F(TopicReplicaTest, EachRecordIsToldOnceWhereverItComesFrom)
{
    m_replica.replace({put(3, "a", "1")}, LogOffset(4), TimePoint(10));
    m_replica.append({put(4, "b", "2"), put(5, "a", "3")}, LogOffset(4), LogOffset(6),
                     TimePoint(20));
    m_replica.append({put(4, "b", "2"), put(5, "a", "3"), put(6, "c", "4")}, LogOffset(4),
                     LogOffset(7), TimePoint(15));
    EXPECT_EQ(m_seen.state, (State{{"a", "3"}, {"b", "2"}, {"c", "4"}}));
    EXPECT_EQ(m_seen.seen, 4);
    EXPECT_EQ(m_replica.next(), LogOffset(7));
    EXPECT_EQ(m_replica.confirmedAt(), TimePoint(20));
}

TEST_F(TopicReplicaTest, OlderSnapshotAndChangesAfterAGapAreIgnored)
{
    m_replica.replace({put(3, "a", "1")}, LogOffset(9), TimePoint(10));
    m_replica.replace({put(2, "a", "0")}, LogOffset(5), TimePoint(30));
    m_replica.append({put(12, "a", "5")}, LogOffset(12), LogOffset(13), TimePoint(40));
    EXPECT_EQ(m_seen.state, (State{{"a", "1"}}));
    EXPECT_EQ(m_replica.next(), LogOffset(9));
    EXPECT_EQ(m_replica.confirmedAt(), TimePoint(10));
}

TEST_F(TopicReplicaTest, ReaderGetsOnlyWhatItLacks)
{
    m_replica.replace({put(3, "a", "1"), put(1, "b", "2")}, LogOffset(4), TimePoint(10));
    RecordingObserver seen;
    TopicReplica reader(seen);
    passOn(m_replica, reader, TimePoint(11));
    EXPECT_EQ(seen.state, m_seen.state);
    m_replica.append({put(4, "c", "3"), dropped(5, "a"), put(6, "c", "4")}, LogOffset(4),
                     LogOffset(7), TimePoint(20));
    passOn(m_replica, reader, TimePoint(21));
    EXPECT_EQ(seen.state, (State{{"b", "2"}, {"c", "4"}}));
    EXPECT_EQ(seen.snapshots, 1);
    EXPECT_EQ(reader.next(), LogOffset(7));
}

TEST_F(TopicReplicaTest, ReaderFromBeforeTheSnapshotGetsAllAndForgetsWhatIsGone)
{
    RecordingObserver seen;
    TopicReplica reader(seen);
    reader.replace({put(1, "a", "1")}, LogOffset(2), TimePoint(5));
    m_replica.replace({put(3, "b", "2")}, LogOffset(4), TimePoint(10));
    EXPECT_TRUE(m_replica.changesSince(LogOffset(2)).isComplete);
    passOn(m_replica, reader, TimePoint(11));
    EXPECT_EQ(seen.state, (State{{"b", "2"}}));
}

TEST_F(TopicReplicaTest, ManyDroppedKeysAreForgottenWithoutHarmToReaders)
{
    m_replica.replace({put(0, "kept", "1")}, LogOffset(1), TimePoint(10));
    RecordingObserver seen;
    TopicReplica reader(seen);
    passOn(m_replica, reader, TimePoint(10));
    m_replica.append({put(1, "key", "1")}, LogOffset(1), LogOffset(2), TimePoint(10));
    passOn(m_replica, reader, TimePoint(11));
    std::vector<protocol::TopicRecord> records;
    for (std::uint64_t offset = 2; offset < 3002; ++offset) {
        const std::string key = offset == 2 ? "key" : "x" + std::to_string(offset);
        records.push_back(dropped(offset, key.c_str()));
    }
    m_replica.append(records, LogOffset(2), LogOffset(3002), TimePoint(20));
    EXPECT_LT(m_replica.changesSince(LogOffset(1500)).records.size(), 2000U);
    passOn(m_replica, reader, TimePoint(21));
    EXPECT_EQ(seen.state, (State{{"kept", "1"}}));
}

TEST_F(TopicReplicaTest, RecordThatChangesNothingIsNotPassedOn)
{
    m_replica.replace({put(0, "a", "1"), put(1, "b", "1")}, LogOffset(2), TimePoint(10));
    m_replica.append({put(2, "a", "1"), put(3, "a", "1")}, LogOffset(2), LogOffset(4),
                     TimePoint(20));
    EXPECT_EQ(m_replica.changed(), LogOffset(2));
    EXPECT_TRUE(m_replica.changesSince(LogOffset(2)).records.empty());
    m_replica.append({put(4, "b", "2")}, LogOffset(4), LogOffset(5), TimePoint(30));
    EXPECT_EQ(m_replica.changed(), LogOffset(5));
    EXPECT_EQ(m_replica.changesSince(LogOffset(2)).records,
              (std::vector<protocol::TopicRecord>{put(4, "b", "2")}));
}

TEST_F(TopicReplicaTest, KeyThatComesBackIsPassedOnThoughTheObserverSawNoChange)
{
    class KeepingObserver final : public ITopicObserver
    {
    public:
        void onSnapshot(const std::vector<protocol::TopicRecord> & /*records*/) override { }
        bool onRecord(const protocol::TopicRecord &record) override
        {
            // Dropped keys are kept for a while, so their return changes nothing here.
            return !record.value;
        }
        void onConfirmed(TimePoint /*instant*/) override { }
        void onSourceRecovered() override { }
    };
    KeepingObserver keeping;
    TopicReplica source(keeping);
    source.replace({put(0, "a", "1")}, LogOffset(1), TimePoint(10));
    RecordingObserver seen;
    TopicReplica reader(seen);
    passOn(source, reader, TimePoint(11));
    source.append({dropped(1, "a")}, LogOffset(1), LogOffset(2), TimePoint(20));
    passOn(source, reader, TimePoint(21));
    EXPECT_TRUE(seen.state.empty());
    source.append({put(2, "a", "1")}, LogOffset(2), LogOffset(3), TimePoint(30));
    EXPECT_EQ(source.changed(), LogOffset(3));
    passOn(source, reader, TimePoint(31));
    EXPECT_EQ(seen.state, (State{{"a", "1"}}));
}
