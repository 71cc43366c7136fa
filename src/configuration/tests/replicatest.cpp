#include "configuration/tests/replicafixture.h"

#include "configuration/types/configurationerror.h"

#include <gtest/gtest.h>

using namespace lavendertally;
using namespace lavendertally::configuration;

namespace {

const std::string Base = R"(availability_zones: [z1, z2]
services:
  - {name: enc, kind: encode, concurrency: 4, cost_per_hour: 1}
)";
const std::string UsesEnc = R"(pipelines:
  - {name: p, deadline: 1s, stages: [{name: a, service: enc}]}
)";

std::string teams(int share)
{
    return "teams: [{name: t, share: " + std::to_string(share) + "}]\n";
}

} // namespace

class ReplicaTest : public testing::Test
{
protected:
    void catchUp() { ASSERT_TRUE(m_replica->applyRecords(m_log.all())); }

    /// \return explanation of a rejected change; empty when it was accepted
    std::string explanation(const std::string &operation) const
    {
        const auto outcome = outcomeOf(*m_replica, operation);
        EXPECT_TRUE(outcome.has_value()) << operation;
        return outcome ? outcome->explanation : "no outcome";
    }

    const ConfigurationView &view() const { return *m_replica->current(); }

    std::uint32_t share() const
    {
        return view().configuration.teams.at(framework::TeamId("t")).share;
    }

    RecordLog m_log;
    std::unique_ptr<IConfigurationReplica> m_replica = ConfigurationModule::makeReplica();
};

TEST_F(ReplicaTest, TwoChangesOfOneFileOnSameBase_LaterIsRejectedAsAWhole)
{
    m_log.append(applyChange("a", 0, {{"teams.yaml", teams(1)}}));
    m_log.append(applyChange("b", 0, {{"teams.yaml", teams(2)}, {"base.yaml", Base}}));
    catchUp();
    EXPECT_EQ(explanation("a"), "");
    EXPECT_NE(explanation("b").find("conflict: file teams.yaml was changed at offset 0"),
              std::string::npos);
    EXPECT_EQ(share(), 1U);
    EXPECT_TRUE(view().configuration.zones.empty())
        << "a rejected change must not apply any of its files";
    EXPECT_EQ(view().revision, framework::LogOffset(2));
}

TEST_F(ReplicaTest, ChangesOfDifferentFilesOnSameBase_AllAreAccepted)
{
    m_log.append(applyChange("a", 0, {{"teams.yaml", teams(1)}}));
    m_log.append(applyChange("b", 0, {{"base.yaml", Base}}));
    m_log.append(applyChange("c", 1, {{"teams.yaml", teams(3)}}));
    catchUp();
    EXPECT_EQ(explanation("b"), "");
    EXPECT_EQ(explanation("c"), "");
    EXPECT_EQ(share(), 3U);
}

TEST_F(ReplicaTest, FileRemovedAfterBase_LaterChangeIsAConflict)
{
    m_log.append(applyChange("a", 0, {{"teams.yaml", teams(1)}}));
    m_log.append(applyChange("b", 1, {{"teams.yaml", std::nullopt}}));
    m_log.append(applyChange("c", 1, {{"teams.yaml", teams(2)}}));
    m_log.append(applyChange("d", 4, {{"teams.yaml", std::nullopt}}));
    catchUp();
    EXPECT_EQ(explanation("b"), "");
    EXPECT_NE(explanation("c").find("conflict"), std::string::npos);
    EXPECT_NE(explanation("d").find("beyond this record"), std::string::npos);
    EXPECT_TRUE(view().configuration.teams.empty());
}

TEST_F(ReplicaTest, RemovalNoLongerKnown_ChangeOnOlderBaseIsRejected)
{
    constexpr int MoreThanKept = 300;
    FileChanges added;
    FileChanges removed;
    for (int i = 0; i < MoreThanKept; ++i) {
        const std::string name = "f" + std::to_string(i) + ".yaml";
        added[name] = "teams: [{name: t" + std::to_string(i) + "}]\n";
        removed[name] = std::nullopt;
    }
    m_log.append(applyChange("a", 0, added));
    m_log.append(applyChange("b", 1, removed));
    m_log.append(applyChange("c", 1, added));
    m_log.append(applyChange("d", 1, {{"new.yaml", teams(1)}}));
    m_log.append(applyChange("e", 2, {{"new.yaml", teams(1)}}));
    catchUp();
    EXPECT_NE(explanation("c"), "");
    EXPECT_NE(explanation("d").find("too old"), std::string::npos);
    EXPECT_EQ(explanation("e"), "");
}

TEST_F(ReplicaTest, ConcurrentChangesValidAlone_LaterIsRejectedWhenMergeIsInvalid)
{
    m_log.append(applyChange("a", 0, {{"base.yaml", Base}}));
    m_log.append(applyChange("b", 1, {{"base.yaml", "availability_zones: [z1]\n"}}));
    m_log.append(applyChange("c", 1, {{"pipelines.yaml", UsesEnc}}));
    catchUp();
    EXPECT_EQ(explanation("b"), "");
    EXPECT_EQ(explanation("c"),
              "pipelines.yaml:2:57: pipelines[0].stages[0].service: expected a declared service; "
              "'enc' is not one");
    EXPECT_TRUE(view().configuration.pipelines.empty());
}

TEST_F(ReplicaTest, ChangeWithInvalidFile_IsRejectedAsAWhole)
{
    m_log.append(applyChange("a", 0, {{"teams.yaml", teams(1)}}));
    m_log.append(applyChange("b", 1, {{"teams.yaml", teams(0)}, {"base.yaml", Base}}));
    m_log.append(applyChange("c", 1, {{"../teams", teams(0)}}));
    m_log.append(applyChange("d", 1, {}));
    catchUp();
    for (const std::string operation : {"b", "c", "d"}) {
        EXPECT_NE(explanation(operation), "") << operation;
    }
    EXPECT_EQ(share(), 1U);
}

TEST_F(ReplicaTest, OperationAppendedTwice_IsAppliedOnce)
{
    m_log.append(applyChange("base", 0, {{"base.yaml", Base}}));
    m_log.append(zoneChange("out", "z1", true));
    m_log.append(zoneChange("in", "z1", false));
    m_log.append(zoneChange("out", "z1", true));
    catchUp();
    EXPECT_TRUE(view().zonesOutOfService.empty())
        << "a change that is appended twice must be applied once";
    EXPECT_EQ(outcomeOf(*m_replica, "out")->offset, framework::LogOffset(1));
}

TEST_F(ReplicaTest, ZonesTakenOutOfService_UnknownIsRejectedAndLastIsAllowed)
{
    m_log.append(applyChange("base", 0, {{"base.yaml", Base}}));
    m_log.append(zoneChange("a", "z9", true));
    m_log.append(zoneChange("b", "z9", false));
    m_log.append(zoneChange("c", "z1", true));
    m_log.append(zoneChange("d", "z2", true));
    catchUp();
    EXPECT_EQ(explanation("a"), "unknown availability zone z9");
    EXPECT_EQ(explanation("b"), "unknown availability zone z9");
    EXPECT_EQ(explanation("c"), "");
    EXPECT_EQ(explanation("d"), "");
    EXPECT_EQ(view().zonesOutOfService, view().configuration.zones);
}

TEST_F(ReplicaTest, FileOfZoneOutOfServiceRemoved_ZoneStaysOutAndCanBeRestored)
{
    m_log.append(applyChange("base", 0, {{"base.yaml", Base}}));
    m_log.append(zoneChange("out", "z1", true));
    m_log.append(applyChange("remove", 2, {{"base.yaml", std::nullopt}}));
    m_log.append(applyChange("again", 3, {{"base.yaml", Base}}));
    catchUp();
    EXPECT_TRUE(view().zonesOutOfService.contains(framework::AvailabilityZoneId("z1")));
    m_log.append(applyChange("remove-again", 4, {{"base.yaml", std::nullopt}}));
    m_log.append(zoneChange("in", "z1", false));
    catchUp();
    EXPECT_EQ(explanation("in"), "");
    EXPECT_TRUE(view().zonesOutOfService.empty());
}

TEST_F(ReplicaTest, UndecodableRecords_AdvanceRevisionOnly)
{
    const std::string undecodable[] = {
        "",
        "{",
        "null",
        "[]",
        "{}",
        R"({"type":"zone"})",
        std::string(1, '\xff'),
        R"({"type":"zone","operation":"x","zone":"z1","out":1})",
        R"({"type":"zone","operation":"","zone":"z1","out":true})",
        R"({"type":"apply_files","operation":"x","base":-1,"files":{}})",
        R"({"type":"apply_files","operation":"x","base":0.5,"files":{}})",
        R"({"type":"apply_files","operation":"x","base":0,"files":[]})",
        R"({"type":"apply_files","operation":"x","base":0,"files":{"a":1}})",
        R"({"type":"snapshot","revision":0,"state":"{"})",
        std::string(100000, '[')};
    for (const std::string &data : undecodable) {
        m_log.appendText(data);
    }
    catchUp();
    EXPECT_EQ(revisionOf(*m_replica), std::size(undecodable));
    EXPECT_FALSE(outcomeOf(*m_replica, "x").has_value());
}

TEST_F(ReplicaTest, RecordsNotAtCurrentRevision_GapIsRejectedAndOldRecordsAreSkipped)
{
    for (int i = 0; i < 4; ++i) {
        m_log.append(hostChange("h" + std::to_string(i), "h1", i % 2 == 0));
    }
    EXPECT_FALSE(m_replica->applyRecords(m_log.page(1, 3)));
    EXPECT_EQ(revisionOf(*m_replica), 0U);
    EXPECT_TRUE(m_replica->applyRecords(m_log.page(0, 2)));
    EXPECT_TRUE(m_replica->applyRecords(m_log.page(0, 4)));
    EXPECT_TRUE(m_replica->applyRecords(m_log.page(0, 1)));
    EXPECT_EQ(revisionOf(*m_replica), 4U);
}

TEST_F(ReplicaTest, OlderRecordsExpired_NewReplicaStartsFromSnapshotRecord)
{
    m_log.append(applyChange("base", 0, {{"base.yaml", Base}}));
    m_log.append(zoneChange("out", "z1", true));
    catchUp();
    const SnapshotRecord snapshot{framework::LogOffset(2), m_replica->snapshot()};
    m_log.append(hostChange("between", "h1", true));
    m_log.append(snapshot);
    m_log.append(hostChange("after", "h2", true));
    catchUp();
    const auto newReplica = ConfigurationModule::makeReplica();
    EXPECT_FALSE(newReplica->applyRecords(m_log.page(1, 3)))
        << "the page contains no snapshot record";
    EXPECT_TRUE(newReplica->applyRecords(m_log.page(2, 5)));
    EXPECT_EQ(newReplica->snapshot(), m_replica->snapshot());
    EXPECT_EQ(outcomeOf(*newReplica, "out"), outcomeOf(*m_replica, "out"));
}

TEST_F(ReplicaTest, SnapshotOlderThanPage_IsRestoredAndGapIsReported)
{
    m_log.append(applyChange("base", 0, {{"base.yaml", Base}}));
    catchUp();
    const SnapshotRecord snapshot{framework::LogOffset(1), m_replica->snapshot()};
    m_log.append(hostChange("missed", "h1", true));
    m_log.append(snapshot);
    catchUp();
    const auto newReplica = ConfigurationModule::makeReplica();
    EXPECT_FALSE(newReplica->applyRecords(m_log.page(2, 3)));
    EXPECT_EQ(revisionOf(*newReplica), 1U);
    EXPECT_TRUE(newReplica->applyRecords(m_log.page(1, 3)));
    EXPECT_EQ(newReplica->snapshot(), m_replica->snapshot());
}

TEST_F(ReplicaTest, SnapshotRecordWithInconsistentRevision_IsIgnored)
{
    m_log.append(hostChange("a", "h1", true));
    m_log.append(hostChange("b", "h1", false));
    catchUp();
    const std::string state = m_replica->snapshot();
    RecordLog other;
    other.append(hostChange("c", "h3", true));
    other.append(SnapshotRecord{framework::LogOffset(2), state});
    other.append(SnapshotRecord{framework::LogOffset(1), state});
    const auto newReplica = ConfigurationModule::makeReplica();
    EXPECT_FALSE(newReplica->applyRecords(other.page(1, 3)));
    EXPECT_EQ(revisionOf(*newReplica), 0U);
}

TEST_F(ReplicaTest, OlderPeerSnapshot_DoesNotRevertState)
{
    m_log.append(hostChange("a", "h1", true));
    catchUp();
    const std::string old = m_replica->snapshot();
    m_log.append(hostChange("b", "h1", false));
    catchUp();
    EXPECT_TRUE(m_replica->restore(old));
    EXPECT_EQ(revisionOf(*m_replica), 2U);
    EXPECT_TRUE(view().hostsOutOfService.empty());
    EXPECT_FALSE(m_replica->restore("{}"));
    EXPECT_FALSE(m_replica->restore(""));
}

TEST_F(ReplicaTest, RevisionChanges_ObserversAreNotifiedAndSeeNewRevision)
{
    std::vector<std::uint64_t> seen;
    m_replica->onChange([&] { seen.push_back(revisionOf(*m_replica)); });
    m_log.append(hostChange("a", "h1", true));
    m_log.append(hostChange("b", "h1", true));
    catchUp();
    catchUp();
    m_log.appendText("noise");
    catchUp();
    EXPECT_EQ(seen, (std::vector<std::uint64_t>{2, 3}));
}

TEST_F(ReplicaTest, RecordBufferOverLimit_OldestRecordsAreEvicted)
{
    m_replica = ConfigurationModule::makeReplica(framework::Bytes(250));
    for (int i = 0; i < 10; ++i) {
        m_log.appendText(std::string(100, 'x'));
    }
    catchUp();
    EXPECT_FALSE(m_replica->recordsSince(framework::LogOffset(7)).has_value());
    EXPECT_EQ(m_replica->recordsSince(framework::LogOffset(8)), m_log.page(8, 10));
    EXPECT_TRUE(m_replica->recordsSince(framework::LogOffset(10))->empty());
    EXPECT_TRUE(m_replica->recordsSince(framework::LogOffset(99))->empty());
}

TEST_F(ReplicaTest, MoreOperationsThanKept_OldestOutcomeIsDropped)
{
    constexpr int Kept = 512;
    for (int i = 0; i <= Kept; ++i) {
        m_log.append(hostChange("h" + std::to_string(i), "h1", true));
    }
    catchUp();
    EXPECT_FALSE(outcomeOf(*m_replica, "h0").has_value());
    EXPECT_TRUE(outcomeOf(*m_replica, "h1").has_value());
}
