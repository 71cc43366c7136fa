#include "control/internal/isolationpolicy.h"
#include "control/internal/revisionsyncpolicy.h"
#include "control/internal/snapshotpolicy.h"
#include "framework/frameworkmodule.h"
#include "framework/irandom.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>

using namespace lavendertally;
using namespace lavendertally::control;
using framework::Endpoint;
using framework::LogOffset;
using framework::Milliseconds;
using framework::TimePoint;

namespace {

Endpoint endpoint(std::size_t number)
{
    return {"10.0.0.1", static_cast<std::uint16_t>(number)};
}

std::vector<membership::HostEntry> entries(std::size_t count, std::size_t zones)
{
    std::vector<membership::HostEntry> result(count);
    for (std::size_t i = 0; i < count; ++i) {
        result[i].id = framework::HostId("e" + std::to_string(i));
        result[i].zone = framework::AvailabilityZoneId("z" + std::to_string(i % zones));
        result[i].role = membership::HostRole::Entry;
        result[i].control = endpoint(i);
    }
    return result;
}

ControlIdentity entryIdentity(std::size_t number, std::size_t zones)
{
    const std::string id = "e" + std::to_string(number);
    return {framework::DaemonId(id), framework::HostId(id),
            framework::AvailabilityZoneId("z" + std::to_string(number % zones)),
            configuration::DaemonRole::Entry};
}

ControlIdentity hostIdentity(const std::string &id, const std::string &zone)
{
    return {framework::DaemonId(id), framework::HostId(id), framework::AvailabilityZoneId(zone),
            configuration::DaemonRole::Host};
}

} // namespace

class SyncPolicyTest : public testing::Test
{
protected:
    std::unique_ptr<RevisionSyncPolicy> make(const ControlIdentity &identity,
                                             const std::vector<Endpoint> &seeds = {})
    {
        return std::make_unique<RevisionSyncPolicy>(identity, seeds, m_limits, *m_random, m_now);
    }

    /// Runs a policy for \p time. Queries to peers for which \p answers returns false time out.
    /// \return the queried peers in order
    std::vector<Endpoint> run(RevisionSyncPolicy &policy, Milliseconds time,
                              const std::function<bool(const Endpoint &)> &answers)
    {
        std::vector<Endpoint> asked;
        for (const TimePoint end = m_now + time; m_now < end; m_now = m_now + Milliseconds(100)) {
            while (const auto peer = policy.nextPeer(m_now)) {
                asked.push_back(*peer);
                if (answers(*peer)) {
                    policy.noteAnswer(*peer, m_now);
                } else {
                    m_now = m_now + m_limits.queryTimeout;
                    policy.noteFailure(*peer, m_now);
                }
            }
        }
        return asked;
    }

    SyncLimits m_limits;
    TimePoint m_now{100000};
    std::unique_ptr<framework::IRandom> m_random = framework::FrameworkModule::makeRandom(1);
};

TEST_F(SyncPolicyTest, NoEntryKnown_SeedsAreQueried)
{
    const auto policy = make(hostIdentity("h", "z0"), {endpoint(7)});
    EXPECT_EQ(policy->nextPeer(m_now), endpoint(7));
}

TEST_F(SyncPolicyTest, NoPeerKnown_NothingIsQueriedAndNextQueryIsLater)
{
    const auto policy = make(hostIdentity("h", "z0"));
    EXPECT_EQ(policy->nextPeer(m_now), std::nullopt);
    EXPECT_GT(policy->nextDue(), m_now);
}

TEST_F(SyncPolicyTest, AllPeersAnswer_EachRoleKeepsItsQueryInterval)
{
    const auto all = [](const Endpoint &) { return true; };
    const auto entry = make(entryIdentity(0, 4));
    entry->setEntries(entries(8, 4));
    EXPECT_EQ(run(*entry, Milliseconds(10000), all).size(), 20U);
    const auto host = make(hostIdentity("h", "z0"));
    host->setEntries(entries(8, 4));
    EXPECT_EQ(run(*host, Milliseconds(10000), all).size(), 10U);
}

TEST_F(SyncPolicyTest, LargeFleet_HostQueriesFewEntriesAndOneOfAnotherZone)
{
    const auto host = make(hostIdentity("h", "z0"));
    host->setEntries(entries(320, 16));
    const auto asked = run(*host, Milliseconds(60000), [](const Endpoint &) { return true; });
    const std::set<Endpoint> distinct(asked.begin(), asked.end());
    EXPECT_EQ(distinct.size(), m_limits.hostRotationSize);
    const auto otherZone = [](const Endpoint &peer) { return peer.port % 16 != 0; };
    EXPECT_EQ(std::ranges::count_if(distinct, otherZone), 1);
}

TEST_F(SyncPolicyTest, LargeFleet_HostsSpreadOverTheEntriesOfTheirZone)
{
    std::map<Endpoint, int> load;
    for (int i = 0; i < 362; ++i) {
        const auto host = make(hostIdentity("h" + std::to_string(i), "z0"));
        host->setEntries(entries(320, 16));
        for (const auto &peer : run(*host, Milliseconds(4000), [](auto &) { return true; })) {
            ++load[peer];
        }
    }
    const auto busiest = std::ranges::max_element(load, {}, [](auto &item) { return item.second; });
    EXPECT_LT(busiest->second, 3 * 362 * 4 / 20) << "over four seconds";
}

TEST_F(SyncPolicyTest, LargeFleet_FewEntriesOfEachZoneFollowTheLog)
{
    int followers = 0;
    for (std::size_t i = 0; i < 320; ++i) {
        const auto policy = make(entryIdentity(i, 16));
        policy->setEntries(entries(320, 16));
        policy->noteAnswer(endpoint(0), m_now);
        followers += policy->logReadMode(m_now) == LogReadMode::Follow ? 1 : 0;
    }
    EXPECT_EQ(followers, 16 * 2);
}

TEST_F(SyncPolicyTest, NoPeerAnswers_EntryFollowsTheLogItself)
{
    m_limits.logReadersPerZone = 0;
    const auto policy = make(entryIdentity(0, 1));
    policy->setEntries(entries(3, 1));
    policy->noteAnswer(endpoint(1), m_now);
    EXPECT_EQ(policy->logReadMode(m_now + m_limits.peerSilence), LogReadMode::Check);
    EXPECT_EQ(policy->logReadMode(m_now + m_limits.peerSilence + Milliseconds(1)),
              LogReadMode::Follow);
}

TEST_F(SyncPolicyTest, MostOfFleetUnreachable_LastGoodPeerIsQueriedAfterEachFailure)
{
    for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        m_random = framework::FrameworkModule::makeRandom(seed);
        const auto policy = make(entryIdentity(0, 4));
        policy->setEntries(entries(100, 4));
        policy->noteAnswer(endpoint(1), m_now);
        const auto asked = run(*policy, Milliseconds(30000),
                               [](const Endpoint &peer) { return peer == endpoint(1); });
        for (std::size_t i = 1; i < asked.size(); ++i) {
            ASSERT_TRUE(asked[i - 1] == endpoint(1) || asked[i] == endpoint(1));
        }
    }
}

TEST_F(SyncPolicyTest, AllQueriesFailAtOnce_QueryRateStaysBounded)
{
    m_limits.queryTimeout = Milliseconds(0);
    const auto policy = make(entryIdentity(0, 4));
    policy->setEntries(entries(320, 4));
    int asked = 0;
    for (const TimePoint end = m_now + Milliseconds(10000); m_now < end;
         m_now = std::max(policy->nextDue(), m_now + Milliseconds(5))) {
        while (const auto peer = policy->nextPeer(m_now)) {
            ++asked;
            policy->noteFailure(*peer, m_now);
        }
    }
    EXPECT_LE(asked, 10000 / m_limits.retryDelay.value());
}

TEST_F(SyncPolicyTest, PeerHasNewerRevision_ItIsQueriedAtOnceAndOnlyOnce)
{
    const auto policy = make(entryIdentity(0, 1));
    policy->setEntries(entries(3, 1));
    EXPECT_NE(policy->nextPeer(m_now), std::nullopt);
    EXPECT_EQ(policy->nextPeer(m_now), std::nullopt);
    policy->noteNewerRevision(endpoint(2));
    policy->noteNewerRevision(endpoint(2));
    EXPECT_EQ(policy->nextPeer(m_now), endpoint(2));
    EXPECT_EQ(policy->nextPeer(m_now), std::nullopt);
}

TEST_F(SyncPolicyTest, OwnRevisionAdvances_SomePeersAreQueriedAtOnce)
{
    const auto policy = make(entryIdentity(0, 1));
    policy->setEntries(entries(30, 1));
    EXPECT_NE(policy->nextPeer(m_now), std::nullopt);
    policy->noteAdvance();
    std::size_t queried = 0;
    while (policy->nextPeer(m_now)) {
        ++queried;
    }
    EXPECT_GE(queried, 1U);
    EXPECT_LE(queried, m_limits.fanOut);
}

TEST(IsolationPolicyTest, NoContactForMaxSilence_IsIsolatedUntilRevisionIsConfirmed)
{
    const IsolationLimits limits;
    const TimePoint start{5000};
    IsolationPolicy policy(limits, start);
    const TimePoint late = start + limits.maxSilence + Milliseconds(1);
    EXPECT_FALSE(policy.isIsolated(start + limits.maxSilence));
    EXPECT_TRUE(policy.isIsolated(late));
    policy.noteContact(LogOffset(4), LogOffset(5), late);
    EXPECT_TRUE(policy.isIsolated(late))
        << "a peer with an older revision confirmed the configuration";
    policy.noteContact(LogOffset(5), LogOffset(5), late);
    EXPECT_FALSE(policy.isIsolated(late));
}

TEST(IsolationPolicyTest, NewerRevisionKnownButNotApplied_IsIsolatedAfterThreeSeconds)
{
    const IsolationLimits limits;
    const TimePoint start{5000};
    IsolationPolicy policy(limits, start);
    policy.noteContact(LogOffset(9), LogOffset(5), start);
    EXPECT_FALSE(policy.isIsolated(start + limits.maxBehind));
    const TimePoint late = start + limits.maxBehind + Milliseconds(1);
    EXPECT_TRUE(policy.isIsolated(late));
    policy.noteAdvance(LogOffset(8));
    EXPECT_TRUE(policy.isIsolated(late));
    policy.noteAdvance(LogOffset(9));
    EXPECT_FALSE(policy.isIsolated(late));
}

TEST(IsolationPolicyTest, NewerRevisionNotReportedAgain_IsForgotten)
{
    const IsolationLimits limits;
    const TimePoint start{5000};
    IsolationPolicy policy(limits, start);
    policy.noteContact(LogOffset(1000000), LogOffset(5), start);
    const TimePoint late = start + limits.maxSilence + Milliseconds(1);
    policy.noteContact(LogOffset(5), LogOffset(5), late);
    EXPECT_FALSE(policy.isIsolated(late));
}

TEST(SnapshotPolicyTest, NoSnapshotSeen_EntriesTakeTurnsBeforeRetentionEnds)
{
    const SnapshotLimits limits;
    const TimePoint start{5000};
    SnapshotPolicy policy(limits, start);
    EXPECT_FALSE(policy.isDue(0, start + limits.startDelay - Milliseconds(1)));
    EXPECT_TRUE(policy.isDue(0, start + limits.startDelay));
    EXPECT_FALSE(policy.isDue(1, start + limits.startDelay));
    EXPECT_TRUE(policy.isDue(1, start + limits.startDelay + limits.turnInterval));

    const TimePoint seen = start + limits.startDelay;
    policy.noteSnapshot(seen);
    const Milliseconds half(limits.retention.value() / 2);
    EXPECT_FALSE(policy.isDue(0, seen + half - Milliseconds(1)));
    EXPECT_TRUE(policy.isDue(0, seen + half));
    EXPECT_TRUE(policy.isDue(300, seen + Milliseconds(limits.retention.value() * 3 / 4)));
}

TEST(SnapshotPolicyTest, SnapshotAttempted_IsDueAgainAfterRetryDelay)
{
    const SnapshotLimits limits;
    const TimePoint start{5000};
    SnapshotPolicy policy(limits, start);
    const TimePoint due = start + limits.startDelay;
    policy.noteAttempt(due);
    EXPECT_FALSE(policy.isDue(0, due));
    EXPECT_TRUE(policy.isDue(0, due + limits.retryDelay));
}
