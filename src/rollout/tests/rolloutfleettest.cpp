#include "rollout/tests/rolloutfleet.h"
#include "protocol/types/rolloutsteps.h"

using namespace lavendertally;
using namespace lavendertally::rollout;

class RolloutFleetTest : public RolloutFleet
{ };

TEST_F(RolloutFleetTest, NoOrder_NewVersionGetsNothingAndNothingIsSentOrWritten)
{
    addDaemons(3);
    play(3000);
    EXPECT_EQ(sentToTarget(), 0U);
    EXPECT_GT(sent(), 0U);
    EXPECT_EQ(m_daemons.front()->network.sentCount, 0);
    EXPECT_TRUE(m_topic.history.empty());
}

TEST_F(RolloutFleetTest, ServersOfOneVersionAreReplaced_AllAreUsed)
{
    removeServers("new");
    addDaemons(1);
    addServer("newer", "v1", 9);
    play(500);
    EXPECT_GT(m_daemons.front()->sent, 0U);
    routing::ServerQuery query;
    query.service = Service;
    auto servers = m_servers.admitting(Service);
    m_daemons.front()->traffic->restrict(query, servers, m_clock.now());
    EXPECT_EQ(servers.size(), 5U);
}

// Cutting off requests at old servers, which stop when the status says completed.
TEST_F(RolloutFleetTest, GoodVersion_CompletedBeforeTheDeadlineWithNothingAtOldServers)
{
    addDaemons(5);
    order("v2");
    while (state() != RolloutState::Completed
           && m_clock.now() < framework::TimePoint(1000000) + Duration) {
        play(50);
    }
    ASSERT_EQ(state(), RolloutState::Completed);
    for (const auto &daemon : m_daemons) {
        for (const auto &[started, server] : daemon->calls) {
            EXPECT_TRUE(server.value().starts_with("new"));
        }
    }
    removeServers("old");
    const std::size_t refused = m_refused;
    play(2000);
    EXPECT_EQ(m_refused, refused);
    EXPECT_EQ(m_topic.history.size(), 2U) << "running and completed";
}

TEST_F(RolloutFleetTest, BadVersion_RolledBackEverywhereAndStaysSo)
{
    m_isNewBad = true;
    addDaemons(5);
    order("v2");
    play(8000);
    ASSERT_EQ(state(), RolloutState::RolledBack);
    EXPECT_LT(m_badAnswers, 50U);
    const std::size_t before = sentToTarget();
    // A message of a decider that was cut off meanwhile.
    const protocol::RolloutSteps stale{
        {{Service, framework::SoftwareVersion("v2"), m_order->id, protocol::RolloutStep::Everything,
          framework::Milliseconds(11000)}}};
    m_daemons[4]->exchange->onMessage(m_daemons[0]->id, stale);
    play(8000);
    EXPECT_EQ(sentToTarget(), before);
    EXPECT_EQ(m_topic.history.size(), 2U);
}

TEST_F(RolloutFleetTest, DeciderDiesBetweenSteps_SuccessorGoesOnAndCompletesInTime)
{
    addDaemons(5);
    order("v2");
    play(9000);
    kill(0);
    play(2950);
    EXPECT_EQ(state(), RolloutState::Completed);
}

TEST_F(RolloutFleetTest, DeciderDiesWithTheEvidence_SuccessorRollsBack)
{
    m_isNewBad = true;
    addDaemons(5);
    order("v2");
    while (m_badAnswers < 3) {
        play(50);
    }
    kill(0);
    kill(0);
    play(4000);
    EXPECT_EQ(state(), RolloutState::RolledBack);
    EXPECT_LT(m_clock.now() - lastToTarget(), framework::Milliseconds(5000));
    EXPECT_LT(m_badAnswers, 50U);
}

// A gateway that is cut off may hold requests at old servers, and can be told nothing.
TEST_F(RolloutFleetTest, GatewayIsCutOff_SendsNothingToNewVersionAndNothingIsCompleted)
{
    addDaemons(5);
    cutOff(4);
    order("v2");
    play(14000);
    EXPECT_EQ(m_daemons[4]->sentToTarget, 0U);
    EXPECT_EQ(state(), RolloutState::Running);
    rejoin();
    play(2000);
    EXPECT_EQ(state(), RolloutState::Completed);
}

TEST_F(RolloutFleetTest, GatewayIsCutOffOnTheCanary_KeepsItsShareAndStopsByItsOwnEvidence)
{
    addDaemons(5);
    order("v2");
    play(3000, 4);
    cutOff(4);
    Daemon &lone = *m_daemons[4];
    play(10000, 4);
    EXPECT_GT(lone.sentToTarget, 0U);
    EXPECT_LE(static_cast<double>(lone.sentToTarget), 0.05 * static_cast<double>(lone.sent) + 10.0);
    m_isNewBad = true;
    play(40000, 4);
    const std::size_t stopped = lone.sentToTarget;
    play(10000, 4);
    EXPECT_EQ(lone.sentToTarget, stopped);
}

TEST_F(RolloutFleetTest, StoreIsAway_RollbackDoesNotWaitAndIsWrittenLater)
{
    addDaemons(5);
    order("v2");
    play(1000);
    m_topic.isAvailable = false;
    m_isNewBad = true;
    play(8000);
    EXPECT_NE(state(), RolloutState::RolledBack);
    EXPECT_LT(m_badAnswers, 50U);
    const std::size_t before = sentToTarget();
    play(2000);
    EXPECT_EQ(sentToTarget(), before);
    m_topic.isAvailable = true;
    play(2000);
    EXPECT_EQ(state(), RolloutState::RolledBack);
}

TEST_F(RolloutFleetTest, StoreIsAwayAtTheEnd_OldServersAreNotGivenUpBeforeItIsWritten)
{
    addDaemons(3);
    order("v2");
    play(10000);
    m_topic.isAvailable = false;
    play(4000);
    EXPECT_EQ(state(), RolloutState::Running);
    m_topic.isAvailable = true;
    play(2000);
    EXPECT_EQ(state(), RolloutState::Completed);
}

// Until the store has acknowledged the completion, old servers run on and the way back is open.
TEST_F(RolloutFleetTest, VersionTurnsBadBeforeCompletionIsWritten_IsStillRolledBack)
{
    addDaemons(3);
    order("v2");
    play(11000);
    m_topic.isAvailable = false;
    play(2000);
    m_isNewBad = true;
    play(2000);
    const std::size_t before = sentToTarget();
    m_topic.isAvailable = true;
    play(2000);
    EXPECT_EQ(state(), RolloutState::RolledBack);
    EXPECT_EQ(sentToTarget(), before);
}

TEST_F(RolloutFleetTest, GatewayRestarts_SendsNothingToNewVersionUntilItHearsTheStep)
{
    addDaemons(3);
    order("v2");
    play(5000, 4);
    cutOff(2);
    const std::size_t before = m_daemons[2]->sentToTarget;
    EXPECT_GT(before, 0U);
    restart(2);
    cutOff(2);
    play(5000, 4);
    EXPECT_EQ(m_daemons[2]->sentToTarget, 0U);
}

TEST_F(RolloutFleetTest, AllGatewaysRestart_RollbackIsKnownFromTheStore)
{
    m_isNewBad = true;
    addDaemons(3);
    order("v2");
    play(8000);
    ASSERT_EQ(state(), RolloutState::RolledBack);
    const std::size_t before = sentToTarget();
    for (std::size_t each = 0; each < 3; ++each) {
        restart(each);
    }
    play(8000);
    EXPECT_EQ(sentToTarget(), before);
    EXPECT_EQ(m_topic.history.size(), 2U);
}

// Two daemons that both take themselves for the decider must not contradict each other.
TEST_F(RolloutFleetTest, TwoDeciders_StatusIsFinalOnce)
{
    m_isNewBad = true;
    addDaemons(3);
    auto &addresses = m_daemons[2]->directory.addresses;
    std::reverse(addresses.begin(), addresses.end());
    order("v2");
    play(10000);
    EXPECT_EQ(state(), RolloutState::RolledBack);
    EXPECT_EQ(std::count_if(m_topic.history.begin(), m_topic.history.end(),
                            [](const RolloutStatus &status) { return status.isFinal(); }),
              1);
}

// The registration of a process that was killed stands for half a minute; the deadline may be
// nearer.
TEST_F(RolloutFleetTest, KilledGatewayIsStillRegistered_IsNotWaitedFor)
{
    addDaemons(5);
    order("v2");
    play(6000);
    const framework::DaemonId killed = m_daemons[4]->id;
    kill(4);
    for (const auto &daemon : m_daemons) {
        daemon->directory.addresses.push_back({killed, {}});
        daemon->exchange->onClosedByPeer(killed);
        daemon->exchange->onInboundLinkClosed(killed);
    }
    play(5950);
    EXPECT_EQ(state(), RolloutState::Completed);
}

// Of two gateways, the one that is left must not wait for a majority that cannot come back.
TEST_F(RolloutFleetTest, OneOfTwoGatewaysIsKilled_OtherOneGoesOn)
{
    addDaemons(2);
    order("v2");
    play(3000);
    const framework::DaemonId killed = m_daemons[0]->id;
    kill(0);
    Daemon &left = *m_daemons[0];
    left.directory.addresses.insert(left.directory.addresses.begin(), {killed, {}});
    left.network.unreachable.insert(killed);
    left.exchange->onClosedByPeer(killed);
    play(8950);
    EXPECT_EQ(state(), RolloutState::Completed);
}

// A gateway that was frozen finds its links closed when it goes on; its peers may have requests at
// old servers.
TEST_F(RolloutFleetTest, LinksWereClosedWhileDeciderWasFrozen_PeersAreStillWaitedFor)
{
    addDaemons(3);
    order("v2");
    play(9000);
    m_clock.advance(framework::Milliseconds(6000));
    cutOff(0);
    m_daemons[0]->exchange->onClosedByPeer(m_daemons[1]->id);
    m_daemons[0]->exchange->onClosedByPeer(m_daemons[2]->id);
    m_daemons[1]->network.dropsMessages = true;
    m_daemons[2]->network.dropsMessages = true;
    play(1000);
    EXPECT_EQ(state(), RolloutState::Running);
}

TEST_F(RolloutFleetTest, LinkIsLostWithoutBeingClosed_GatewayIsWaitedFor)
{
    addDaemons(5);
    order("v2");
    play(6000);
    const framework::DaemonId lost = m_daemons[4]->id;
    kill(4);
    for (const auto &daemon : m_daemons) {
        daemon->directory.addresses.push_back({lost, {}});
        daemon->exchange->onInboundLinkClosed(lost);
    }
    play(8000);
    EXPECT_EQ(state(), RolloutState::Running);
}

class RolloutOrderTest : public RolloutFleet
{
protected:
    void rollBack()
    {
        m_isNewBad = true;
        addDaemons(3);
        order("v2");
        play(8000);
        ASSERT_EQ(state(), RolloutState::RolledBack);
        m_isNewBad = false;
        m_before = sentToTarget();
    }

    std::size_t m_before = 0;
};

TEST_F(RolloutOrderTest, SameOrderWrittenAgainAfterStoreRestore_StaysRolledBack)
{
    rollBack();
    order("v2", 7, 2);
    play(8000);
    EXPECT_EQ(sentToTarget(), m_before);
}

TEST_F(RolloutOrderTest, GatewaysRestartAfterStoreRestore_StatusOfTheCopyHolds)
{
    rollBack();
    m_order->id = {framework::StoreEra(2), framework::LogOffset(7)};
    for (std::size_t each = 0; each < 3; ++each) {
        restart(each);
    }
    play(8000);
    EXPECT_EQ(sentToTarget(), m_before);
}

TEST_F(RolloutOrderTest, StatusIsLostByStoreRestore_IsWrittenAgain)
{
    rollBack();
    m_topic.statuses.clear();
    m_topic.end = framework::LogOffset(0);
    order("v2", 7, 2);
    play(2000);
    EXPECT_EQ(state(), RolloutState::RolledBack);
    EXPECT_EQ(sentToTarget(), m_before);
}

TEST_F(RolloutOrderTest, OrderTakenBackAndGivenAgain_RunsAnew)
{
    rollBack();
    takeBack();
    play(1000);
    EXPECT_EQ(sentToTarget(), m_before);
    order("v2", 12);
    play(Duration.value());
    EXPECT_EQ(state(), RolloutState::Completed);
}

TEST_F(RolloutOrderTest, SameTargetOrderedAnew_RunsAnew)
{
    rollBack();
    order("v2", 12);
    play(Duration.value());
    EXPECT_EQ(state(), RolloutState::Completed);
}

TEST_F(RolloutOrderTest, RecordReadTwice_ChangesNothing)
{
    addDaemons(3);
    order("v2");
    play(6000);
    order("v2");
    play(5950);
    EXPECT_EQ(state(), RolloutState::Completed);
}

TEST_F(RolloutOrderTest, TakenBackWhileRunning_NewVersionGetsNothing)
{
    addDaemons(3);
    order("v2");
    play(5000);
    takeBack();
    const std::size_t before = sentToTarget();
    play(5000);
    EXPECT_EQ(sentToTarget(), before);
    EXPECT_EQ(state(), RolloutState::Running);
}

TEST_F(RolloutOrderTest, TargetChangesWhileRunning_OnlyTheLaterOneRuns)
{
    addDaemons(3);
    order("v2");
    play(5000);
    const std::size_t before = sentToTarget();
    order("v3", 11);
    play(8000);
    EXPECT_EQ(sentToTarget(), before);
    EXPECT_NE(state(), RolloutState::Completed);
    for (int each = 0; each < 4; ++each) {
        addServer("third" + std::to_string(each), "v3", 3);
    }
    play(Duration.value());
    EXPECT_EQ(state(), RolloutState::Completed);
    EXPECT_EQ(m_topic.statuses.at(Service).target, framework::SoftwareVersion("v3"));
}

TEST_F(RolloutOrderTest, NoServerOfTheTarget_NothingChangesUntilOneIsReady)
{
    addDaemons(3);
    order("v9");
    play(3000);
    EXPECT_EQ(sentToTarget(), 0U);
    EXPECT_EQ(m_refused, 0U);
    EXPECT_EQ(state(), std::nullopt);
}

// Moving everything to servers that were never tried, because the deadline is near.
TEST_F(RolloutOrderTest,
       ServersOfTheTargetAreReadyOnlyAtTheDeadline_TheyAreTriedBeforeTheyGetEverything)
{
    removeServers("new");
    m_isNewBad = true;
    addDaemons(3);
    order("v2");
    play(Duration.value());
    for (int each = 0; each < 4; ++each) {
        addServer("new" + std::to_string(each), "v2", 2);
    }
    play(6000, 4);
    EXPECT_EQ(state(), RolloutState::RolledBack);
    EXPECT_LT(m_badAnswers, 50U);
}

TEST_F(RolloutOrderTest, TargetIsInUse_CompletedAtOnce)
{
    addDaemons(3);
    play(500);
    order("v1");
    play(1500);
    EXPECT_EQ(state(), RolloutState::Completed);
    EXPECT_EQ(sentToTarget(), 0U) << "the servers that are named new run v2";
}

TEST_F(RolloutOrderTest, ServiceIsUnknown_NothingHappens)
{
    addDaemons(3);
    const RolloutOrder odd{framework::ServiceId("none"),
                           framework::SoftwareVersion("v2"),
                           Duration,
                           {framework::StoreEra(1), framework::LogOffset(3)}};
    for (const auto &daemon : m_daemons) {
        daemon->traffic->put(odd);
    }
    play(3000);
    EXPECT_TRUE(m_topic.history.empty());
    EXPECT_EQ(sentToTarget(), 0U);
}

TEST_F(RolloutOrderTest, OldServersAreLost_NewVersionGetsEverything)
{
    addDaemons(3);
    order("v2");
    play(3000);
    removeServers("old");
    play(2000);
    EXPECT_EQ(m_refused, 0U);
    EXPECT_EQ(state(), RolloutState::Completed);
}

TEST_F(RolloutOrderTest, OldServersAreLostAfterRollback_NewVersionStillGetsNothing)
{
    rollBack();
    removeServers("old");
    play(1000);
    EXPECT_EQ(sentToTarget(), m_before);
}
