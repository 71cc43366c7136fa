#include "control/irevisionreports.h"
#include "control/testing/controlfleet.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include <optional>
#include <set>

using namespace lavendertally;
using namespace lavendertally::control;
using framework::Milliseconds;

namespace {

constexpr Milliseconds PropagationBound{3000};
constexpr Milliseconds Minute{60000};

} // namespace

class DaemonControlTest : public testing::Test
{
protected:
    void expectAllKnow(std::uint64_t revision)
    {
        for (std::size_t i = 0; i < m_fleet.size(); ++i) {
            EXPECT_EQ(m_fleet.process(i).revision(), revision) << "process " << i;
        }
    }

    ControlFleet m_fleet{4, 8, 4, 7};
};

TEST_F(DaemonControlTest, ZoneOut_NoProcessSendsItWorkAfterThreeSeconds)
{
    m_fleet.advance(Minute);
    m_fleet.appendZoneChange("z1", true);
    m_fleet.advance(PropagationBound);
    for (std::size_t i = 0; i < m_fleet.size(); ++i) {
        EXPECT_FALSE(m_fleet.process(i).membership->mayReceiveWork(
            framework::HostId("h5"), framework::AvailabilityZoneId("z1")));
        EXPECT_TRUE(m_fleet.process(i).membership->mayReceiveWork(
            framework::HostId("h6"), framework::AvailabilityZoneId("z2")));
    }
}

TEST_F(DaemonControlTest, LogDown_RestartedProcessesGetStateFromPeers)
{
    m_fleet.appendZoneChange("z1", true);
    m_fleet.advance(PropagationBound);
    m_fleet.setLogDown(true);
    for (const std::size_t index : {0, 1, 2, 5, 9}) {
        m_fleet.restart(index);
    }
    m_fleet.advance(PropagationBound);
    expectAllKnow(m_fleet.logEnd());
}

TEST_F(DaemonControlTest, RecordsExpired_AllProcessesRestartFromSnapshotRecord)
{
    m_fleet.appendZoneChange("z1", true);
    const std::uint64_t snapshotAt = m_fleet.logEnd();
    m_fleet.advance(Minute * 3);
    ASSERT_GT(m_fleet.logEnd(), snapshotAt) << "no snapshot record was written";
    m_fleet.expireLog(snapshotAt);
    for (std::size_t i = 0; i < m_fleet.size(); ++i) {
        m_fleet.restart(i);
    }
    m_fleet.advance(PropagationBound);
    expectAllKnow(m_fleet.logEnd());
    EXPECT_TRUE(m_fleet.process(6).replica->current()->zonesOutOfService.contains(
        framework::AvailabilityZoneId("z1")));
}

TEST(DaemonControlSmallTest, NoChangesForHours_StateNeverExpiresAndFewSnapshotsAreWritten)
{
    constexpr std::uint64_t Hours = 6;
    ControlFleet fleet(2, 1, 2, 7);
    std::uint64_t before = fleet.logEnd();
    for (std::uint64_t hour = 0; hour < Hours; ++hour) {
        fleet.advance(Minute * 60);
        ASSERT_GT(fleet.logEnd(), before) << "nothing was written in hour " << hour;
        fleet.expireLog(before);
        before = fleet.logEnd();
    }
    EXPECT_LE(fleet.logEnd(), 1 + Hours * 2 + 2);
}

TEST_F(DaemonControlTest, MessageCarriesNewerRevision_ProcessQueriesThatPeerWithoutDelay)
{
    m_fleet.advance(Minute);
    for (std::size_t i = 0; i < m_fleet.size(); ++i) {
        m_fleet.setPartition(i, i == 0 ? 0 : 1);
    }
    m_fleet.setLogDown(true);
    m_fleet.process(0).logService.setDown(false);
    m_fleet.appendZoneChange("z1", true);
    m_fleet.advance(Milliseconds(30000));
    ASSERT_EQ(m_fleet.process(0).revision(), m_fleet.logEnd());
    ASSERT_LT(m_fleet.process(9).revision(), m_fleet.logEnd());
    m_fleet.setPartition(9, 0);
    m_fleet.process(9).control->noteRevision(framework::DaemonId("h0"),
                                             framework::LogOffset(m_fleet.logEnd()));
    m_fleet.advance(Milliseconds(400));
    EXPECT_EQ(m_fleet.process(9).revision(), m_fleet.logEnd());
}

TEST_F(DaemonControlTest, ProcessPartitioned_IsIsolatedUntilItReachesAPeer)
{
    m_fleet.appendZoneChange("z1", true);
    m_fleet.advance(Minute);
    m_fleet.setPartition(9, 1);
    m_fleet.advance(Minute + Milliseconds(2000));
    EXPECT_TRUE(m_fleet.process(9).control->isIsolated());
    EXPECT_FALSE(m_fleet.process(8).control->isIsolated());
    m_fleet.setPartition(9, 0);
    m_fleet.advance(PropagationBound);
    EXPECT_FALSE(m_fleet.process(9).control->isIsolated());
}

TEST_F(DaemonControlTest, LogDownForThirtyMinutes_NoProcessIsIsolated)
{
    m_fleet.appendZoneChange("z1", true);
    m_fleet.advance(Minute);
    m_fleet.setLogDown(true);
    m_fleet.advance(Minute * 30);
    for (std::size_t i = 0; i < m_fleet.size(); ++i) {
        EXPECT_FALSE(m_fleet.process(i).control->isIsolated()) << "process " << i;
    }
}

TEST_F(DaemonControlTest, ProcessPausedForMinutes_IsIsolatedUntilItIsUpToDate)
{
    m_fleet.appendZoneChange("z1", true);
    m_fleet.advance(Minute);
    m_fleet.process(9).scheduler.pause();
    m_fleet.appendZoneChange("z2", true);
    m_fleet.advance(Minute * 2);
    EXPECT_TRUE(m_fleet.process(9).control->isIsolated());
    m_fleet.process(9).scheduler.resume();
    m_fleet.advance(PropagationBound);
    EXPECT_FALSE(m_fleet.process(9).control->isIsolated());
    EXPECT_EQ(m_fleet.process(9).revision(), m_fleet.logEnd());
}

TEST_F(DaemonControlTest, DaemonsQueryEntries_EntriesReportRevisionsOfAllDaemons)
{
    m_fleet.appendZoneChange("z1", true);
    m_fleet.advance(Milliseconds(30000));
    std::set<framework::DaemonId> heard;
    for (std::size_t i = 0; i < 4; ++i) {
        for (const auto &report : m_fleet.process(i).control->revisionReports().reports()) {
            EXPECT_EQ(report.revision.value(), m_fleet.logEnd());
            heard.insert(report.daemon);
        }
    }
    EXPECT_EQ(heard.size(), m_fleet.size());
}

TEST_F(DaemonControlTest, LoadProbe_ReturnsReportOfProbedHostOrError)
{
    m_fleet.process(9).control->setLoadSource([] {
        protocol::LoadReport report;
        report.running = 5;
        return report;
    });
    std::vector<std::optional<std::uint32_t>> running;
    for (const std::size_t index : {9, 8}) {
        m_fleet.process(0).control->probeLoad(
            m_fleet.endpoint(index), Milliseconds(500),
            [&](const framework::Result<protocol::LoadReport> &result) {
                running.push_back(result ? std::optional(result.value().running) : std::nullopt);
            });
    }
    m_fleet.advance(Milliseconds(1000));
    EXPECT_EQ(running, (std::vector<std::optional<std::uint32_t>>{5, std::nullopt}));
}

TEST_F(DaemonControlTest, Dump_ContainsRevisionHostsAndIsolation)
{
    m_fleet.appendZoneChange("z1", true);
    m_fleet.advance(Minute);
    const nlohmann::json dump = m_fleet.process(0).control->dumpState();
    EXPECT_EQ(dump.at("revision"), m_fleet.logEnd());
    EXPECT_EQ(dump.at("hosts").size(), m_fleet.size());
    EXPECT_EQ(dump.at("isolated"), false);
}
