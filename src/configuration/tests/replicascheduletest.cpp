#include "configuration/tests/replicafixture.h"

#include "framework/frameworkmodule.h"
#include "framework/irandom.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>

using namespace lavendertally;
using namespace lavendertally::configuration;

namespace {

constexpr std::size_t Replicas = 3;
constexpr int StepsPerSchedule = 40;
constexpr std::uint64_t SchedulesPerShard = 400;
constexpr std::size_t MaxInFlight = 8;

const FileChanges CandidateFiles[] = {
    {{"base.yaml",
      "availability_zones: [z1, z2]\n"
      "services: [{name: enc, kind: encode, concurrency: 1, cost_per_hour: 1}]\n"}},
    {{"base.yaml", "availability_zones: [z1]\n"}},
    {{"pipelines.yaml", "pipelines: [{name: p, deadline: 1s, stages: [{name: a, service: enc}]}]"}},
    {{"teams.yaml", "teams: [{name: t1}]\n"}},
    {{"teams.yaml", "teams: [{name: t1}, {name: t2, share: 3}]\n"}},
    {{"more.yaml", "teams: [{name: t2}]\n"}},
    {{"teams.yaml", "teams: [{name: t1, share: 0}]\n"}},
    {{"teams.yaml", std::nullopt}, {"more.yaml", "teams: [{name: t3}]\n"}},
    {{"base.yaml", std::nullopt}},
};

/// Message in flight to a replica: a page of the log, records from a peer, or the snapshot of a
/// peer.
struct Delivery
{
    std::size_t target = 0;
    std::vector<ControlRecord> records;
    std::string snapshot;
};

/// Runs several replicas of one log under a seeded random schedule of lost, duplicated, reordered
/// and delayed messages and restarts. After each delivery the replica is compared with a reference
/// that applies each record as soon as it is appended.
class Schedule
{
public:
    explicit Schedule(std::uint64_t seed) : m_random(framework::FrameworkModule::makeRandom(seed))
    {
        for (auto &replica : m_replicas) {
            replica = ConfigurationModule::makeReplica(framework::Bytes(RecordBufferBytes));
        }
        recordExpectedState();
    }

    void run()
    {
        for (int step = 0; step < StepsPerSchedule && !testing::Test::HasFailure(); ++step) {
            SCOPED_TRACE("step " + std::to_string(step));
            runStep();
        }
        for (std::size_t target = 0; target < Replicas; ++target) {
            catchUp(target);
        }
    }

private:
    static constexpr std::int64_t RecordBufferBytes = 600;

    std::uint64_t below(std::uint64_t bound) { return m_random->below(bound); }
    bool oneIn(std::uint64_t bound) { return below(bound) == 0; }

    void runStep()
    {
        switch (below(8)) {
        case 0:
        case 1:
            appendRecord();
            break;
        case 2:
            sendPage();
            break;
        case 3:
            sendFromPeer();
            break;
        case 4:
            writeSnapshot();
            break;
        case 5:
            restart();
            break;
        default:
            deliver();
        }
    }

    void appendRecord()
    {
        if (oneIn(6) && m_log.end() > 0) {
            // The response to the append was lost and the operator's tool retries.
            m_log.appendText(m_log.at(below(m_log.end())).data);
        } else if (oneIn(10)) {
            m_log.appendText(oneIn(2) ? "noise" : R"({"type":"apply_files","operation":"cut)");
        } else {
            m_log.append(randomChange());
        }
        advanceReference();
    }

    OperatorChange randomChange()
    {
        const std::string operation = "op" + std::to_string(m_nextOperation++);
        const std::string zone = oneIn(5) ? "unknown" : "z" + std::to_string(1 + below(2));
        switch (below(4)) {
        case 0:
            return zoneChange(operation, zone, oneIn(2));
        case 1:
            return hostChange(operation, "h" + std::to_string(below(3)), oneIn(2));
        default:
            // The operator's tool read its base revision from a replica that may lag.
            return applyChange(operation, revisionOf(*m_replicas[below(Replicas)]),
                               CandidateFiles[below(std::size(CandidateFiles))]);
        }
    }

    void advanceReference()
    {
        while (revisionOf(*m_reference) < m_log.end()) {
            const std::uint64_t next = revisionOf(*m_reference);
            ASSERT_TRUE(m_reference->applyRecords(m_log.page(next, next + 1)));
            recordExpectedState();
        }
    }

    void recordExpectedState() { m_expected.push_back(m_reference->snapshot()); }

    /// Sends a page of the log, truncated at random because the log replica may lag. It usually
    /// starts at the revision of the receiver, sometimes before it.
    void sendPage()
    {
        const std::size_t target = below(Replicas);
        const std::uint64_t revision = revisionOf(*m_replicas[target]);
        const std::uint64_t from = std::max(m_firstKept, oneIn(4) ? below(revision + 1) : revision);
        const std::uint64_t end = from + below(std::max(m_log.end(), from) - from + 1);
        send({target, m_log.page(std::min(from, end), end), ""});
    }

    void sendFromPeer()
    {
        const std::size_t target = below(Replicas);
        const auto &peer = *m_replicas[below(Replicas)];
        const auto records = peer.recordsSince(m_replicas[target]->current()->revision);
        if (records && !oneIn(4)) {
            send({target, *records, ""});
        } else {
            send({target, {}, peer.snapshot()});
        }
    }

    void send(const Delivery &delivery)
    {
        m_inFlight.push_back(delivery);
        if (oneIn(4)) {
            m_inFlight.push_back(delivery);
        }
        while (m_inFlight.size() > MaxInFlight) {
            m_inFlight.pop_front();
        }
    }

    /// Delivers a random message in flight, so that messages are reordered. A replica whose
    /// messages are not chosen for a while acts like a paused process.
    void deliver()
    {
        if (m_inFlight.empty()) {
            return;
        }
        const auto chosen =
            m_inFlight.begin() + static_cast<std::ptrdiff_t>(below(m_inFlight.size()));
        const Delivery delivery = *chosen;
        m_inFlight.erase(chosen);
        receive(delivery);
    }

    void receive(const Delivery &delivery)
    {
        IConfigurationReplica &replica = *m_replicas[delivery.target];
        const std::uint64_t before = revisionOf(replica);
        if (delivery.snapshot.empty()) {
            (void)replica.applyRecords(delivery.records);
        } else {
            ASSERT_TRUE(replica.restore(delivery.snapshot));
        }
        ASSERT_GE(revisionOf(replica), before) << "the revision decreased";
        check(replica);
    }

    /// Checks that configuration and outcomes are a function of the revision alone.
    void check(const IConfigurationReplica &replica)
    {
        ASSERT_LT(revisionOf(replica), m_expected.size());
        ASSERT_EQ(replica.snapshot(), m_expected[revisionOf(replica)]);
    }

    /// Appends a snapshot of any replica, however much it lags; the log may then expire the records
    /// before it.
    void writeSnapshot()
    {
        const auto &writer = *m_replicas[below(Replicas)];
        const std::uint64_t revision = revisionOf(writer);
        m_log.append(SnapshotRecord{framework::LogOffset(revision), writer.snapshot()});
        advanceReference();
        if (oneIn(2)) {
            m_firstKept = std::max(m_firstKept, revision);
        }
    }

    void restart()
    {
        m_replicas[below(Replicas)] =
            ConfigurationModule::makeReplica(framework::Bytes(RecordBufferBytes));
    }

    /// Reads the log page by page to its end, as a daemon does.
    void catchUp(std::size_t target)
    {
        IConfigurationReplica &replica = *m_replicas[target];
        std::uint64_t next = std::max(m_firstKept, revisionOf(replica));
        while (revisionOf(replica) < m_log.end()) {
            ASSERT_LT(next, m_log.end()) << "the log ended before a snapshot was found";
            const std::uint64_t before = revisionOf(replica);
            const std::uint64_t end = std::min(m_log.end(), next + 1 + below(4));
            receive({target, m_log.page(next, end), ""});
            next = revisionOf(replica) > before ? revisionOf(replica) : end;
        }
        ASSERT_EQ(replica.snapshot(), m_expected.back());
    }

    std::unique_ptr<framework::IRandom> m_random;
    RecordLog m_log;
    /// Oldest offset that the log still retains.
    std::uint64_t m_firstKept = 0;
    std::unique_ptr<IConfigurationReplica> m_reference = ConfigurationModule::makeReplica();
    std::array<std::unique_ptr<IConfigurationReplica>, Replicas> m_replicas;
    /// Snapshot of the reference at each revision.
    std::vector<std::string> m_expected;
    std::deque<Delivery> m_inFlight;
    std::uint64_t m_nextOperation = 0;
};

} // namespace

class ReplicaSchedules : public testing::TestWithParam<std::uint64_t>
{ };

TEST_P(ReplicaSchedules, RandomFaults_RevisionNeverDecreasesAndDeterminesState)
{
    const std::uint64_t first = GetParam() * SchedulesPerShard;
    for (std::uint64_t seed = first; seed < first + SchedulesPerShard; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Schedule(seed).run();
        if (HasFailure()) {
            return;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Shards, ReplicaSchedules, testing::Range<std::uint64_t>(0, 25));
