#include "control/testing/controlfleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

using namespace lavendertally;
using namespace lavendertally::control;
using framework::Milliseconds;

namespace {

constexpr std::uint64_t SchedulesPerPart = 400;
constexpr std::uint64_t Parts = 25;
constexpr int StepsPerSchedule = 12;
constexpr Milliseconds PropagationBound{3000};

using ZonesOut = std::set<framework::AvailabilityZoneId>;

/// State after each prefix of the log, from a replica that applies every record in order.
class ReferenceStates
{
public:
    const std::map<std::uint64_t, ZonesOut> &update(const infrastructure::FakeLog &log)
    {
        const auto records = log.records(infrastructure::StreamName("control"));
        const std::uint64_t first = log.first(infrastructure::StreamName("control")).value();
        while (m_next < first + records.size()) {
            m_replica->applyRecords({{framework::LogOffset(m_next), records[m_next - first]}})
                .value();
            ++m_next;
            m_states[m_next] = m_replica->current()->zonesOutOfService;
        }
        return m_states;
    }

private:
    std::unique_ptr<configuration::IConfigurationReplica> m_replica =
        configuration::ConfigurationModule::makeReplica();
    std::uint64_t m_next = 0;
    std::map<std::uint64_t, ZonesOut> m_states{{0, {}}};
};

/// Runs one random schedule of faults and checks the invariants after each step.
class Schedule
{
public:
    explicit Schedule(std::uint64_t seed) : m_fleet(3, 3, 2, seed) { }

    void run()
    {
        for (int step = 0; step < StepsPerSchedule && !testing::Test::HasFailure(); ++step) {
            injectFault();
            m_fleet.advance(Milliseconds(1 + static_cast<std::int64_t>(below(900))));
            checkInvariants();
        }
        expectConvergence();
    }

private:
    std::uint64_t below(std::uint64_t bound) { return m_fleet.random().below(bound); }

    void injectFault()
    {
        const std::size_t index = below(m_fleet.size());
        switch (below(9)) {
        case 0:
        case 1:
        case 2:
            if (!m_fleet.isLogDown()) {
                m_fleet.appendZoneChange("z" + std::to_string(below(2)), below(2) == 0);
            }
            break;
        case 3:
            m_fleet.setLogDown(!m_fleet.isLogDown());
            break;
        case 4:
            m_fleet.setPartition(index, static_cast<int>(below(2)));
            break;
        case 5:
            m_fleet.process(index).scheduler.pause();
            break;
        case 6:
            m_fleet.process(index).scheduler.resume();
            break;
        case 7:
            m_fleet.restart(index);
            break;
        default:
            m_fleet.process(index).logService.setLagging(below(2) == 0);
            break;
        }
    }

    void checkInvariants()
    {
        const auto &states = m_reference.update(m_fleet.log());
        for (std::size_t i = 0; i < m_fleet.size(); ++i) {
            FleetProcess &process = m_fleet.process(i);
            const std::uint64_t revision = process.revision();
            ASSERT_FALSE(process.reverted) << "revision of process " << i << " decreased";
            ASSERT_TRUE(states.contains(revision)) << "process " << i << " is ahead of the log";
            ASSERT_EQ(process.replica->current()->zonesOutOfService, states.at(revision))
                << "process " << i << " differs at revision " << revision;
        }
    }

    /// Keeps partitions and a log outage, ends pauses and lag, and expects that each process
    /// reaches the greatest revision known in its partition within PropagationBound.
    void expectConvergence()
    {
        for (std::size_t i = 0; i < m_fleet.size(); ++i) {
            m_fleet.process(i).logService.setLagging(false);
            if (m_fleet.process(i).scheduler.isPaused()) {
                m_fleet.process(i).scheduler.resume();
            }
        }
        const std::map<int, std::uint64_t> known = knownByPartition();
        m_fleet.advance(PropagationBound);
        checkInvariants();
        for (std::size_t i = 0; i < m_fleet.size(); ++i) {
            ASSERT_GE(m_fleet.process(i).revision(), known.at(m_fleet.partition(i)))
                << "process " << i << " of " << (m_fleet.isEntry(i) ? "entry" : "host")
                << " did not reach the revision known in its partition";
        }
    }

    std::map<int, std::uint64_t> knownByPartition()
    {
        std::map<int, std::uint64_t> known;
        std::set<int> partitionsWithEntry;
        for (std::size_t i = 0; i < m_fleet.size(); ++i) {
            const int partition = m_fleet.partition(i);
            const bool learnsLog = m_fleet.isEntry(i) && !m_fleet.isLogDown();
            const std::uint64_t reach =
                learnsLog ? m_fleet.logEnd() : m_fleet.process(i).revision();
            known[partition] = std::max(known[partition], reach);
            if (m_fleet.isEntry(i)) {
                partitionsWithEntry.insert(partition);
            }
        }
        for (auto &[partition, revision] : known) {
            // Host processes do not query each other, so revisions need not spread in a partition
            // without an entry.
            revision = partitionsWithEntry.contains(partition) ? revision : 0;
        }
        return known;
    }

    ControlFleet m_fleet;
    ReferenceStates m_reference;
};

} // namespace

/// The parameter selects a range of seeds, so that ranges can run in parallel.
class ControlScheduleTest : public testing::TestWithParam<std::uint64_t>
{ };

TEST_P(ControlScheduleTest, RandomFaults_RevisionNeverRevertsAndReachesEachPartitionInTime)
{
    const std::uint64_t first = GetParam() * SchedulesPerPart;
    for (std::uint64_t seed = first; seed < first + SchedulesPerPart; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Schedule(seed).run();
        if (HasFailure()) {
            return;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, ControlScheduleTest, testing::Range<std::uint64_t>(0, Parts));
