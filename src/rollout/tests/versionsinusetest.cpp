#include "rollout/internal/servicetraffic.h"
#include "rollout/tests/rolloutfleet.h"

using namespace lavendertally;
using namespace lavendertally::rollout;

namespace {

/// Which version is in use when more servers of the target than of the old version are ready.
class VersionsInUseTest : public RolloutFleet
{
protected:
    VersionsInUseTest()
    {
        m_servers.remove(framework::BackendServerId("old2"));
        m_servers.remove(framework::BackendServerId("old3"));
    }

    std::size_t sentToOld() const { return sent() - sentToTarget(); }
};

} // namespace

// Guards against a target that is taken for the version in use because it has more servers: it got
// everything in the first step and the decider skipped the steps.
TEST_F(VersionsInUseTest, OrderBeforeAnyRequest_LargerTargetGetsItsShareOnly)
{
    addDaemons(3);
    order("v2");
    play(1000);
    EXPECT_GT(sentToOld(), sentToTarget());
    EXPECT_LE(static_cast<double>(sentToTarget()),
              m_bounds.exposureShare * static_cast<double>(sent()) + m_bounds.exposureSlack);
    EXPECT_NE(state(), RolloutState::Completed);
    EXPECT_EQ(m_refused, 0U);
}

// Guards against the same while no decider is heard.
TEST_F(VersionsInUseTest, OrderBeforeAnyRequestWithoutADecider_LargerTargetGetsNothing)
{
    addDaemons(3);
    cutOff(2);
    order("v2");
    play(1000);
    EXPECT_EQ(m_daemons[2]->sentToTarget, 0U);
    EXPECT_GT(m_daemons[2]->sent, 0U);
}

// Guards against refusing everything after a rollback, as the target was taken for the version in
// use.
TEST_F(VersionsInUseTest, LargerTargetIsRolledBack_OldVersionGetsEverything)
{
    m_isNewBad = true;
    addDaemons(3);
    order("v2");
    play(8000);
    ASSERT_EQ(state(), RolloutState::RolledBack);
    const std::size_t before = sentToTarget();
    const std::size_t beforeOld = sentToOld();
    play(1000);
    EXPECT_EQ(sentToTarget(), before);
    EXPECT_GT(sentToOld(), beforeOld);
    EXPECT_EQ(m_refused, 0U);
}

// Guards against keeping a guess that requests before the order have caused.
TEST_F(VersionsInUseTest, RequestsBeforeTheOrder_TargetIsNotTheVersionInUse)
{
    addDaemons(3);
    play(500);
    const std::size_t before = sentToTarget();
    order("v2");
    for (const auto &daemon : m_daemons) {
        send(*daemon);
    }
    EXPECT_EQ(sentToTarget(), before);
    EXPECT_EQ(m_refused, 0U);
}

// Guards against taking a version for a guess that was the only one at first.
TEST_F(VersionsInUseTest, OrderNamesTheVersionThatWasAloneAtFirst_ItStaysInUse)
{
    removeServers("old");
    addDaemons(1);
    play(500);
    addServer("old0", "v1", 9);
    play(500);
    ASSERT_EQ(sentToOld(), 0U);
    order("v2");
    play(500);
    EXPECT_EQ(sentToOld(), 0U);
    EXPECT_EQ(m_refused, 0U);
}

// Guards against refusing everything when the servers of a completed target are gone.
TEST_F(VersionsInUseTest, TargetIsLostAfterCompletion_OtherVersionGetsEverythingUntilItIsBack)
{
    addDaemons(3);
    order("v2");
    play(12000);
    ASSERT_EQ(state(), RolloutState::Completed);
    removeServers("new");
    const std::size_t before = sentToOld();
    play(1000);
    EXPECT_GT(sentToOld(), before);
    EXPECT_EQ(m_refused, 0U);
    addServer("new0", "v2", 9);
    const std::size_t beforeReturn = sentToOld();
    play(1000);
    EXPECT_EQ(sentToOld(), beforeReturn);
    EXPECT_EQ(m_refused, 0U);
}

// Guards against refusing everything in the last step when the servers of the target are gone and
// no decider is there to roll back.
TEST_F(VersionsInUseTest, TargetIsLostInTheLastStepWithoutADecider_OldVersionGetsEverything)
{
    ServiceTraffic traffic(Service, m_bounds, 1);
    traffic.setServers(m_servers.admitting(Service));
    traffic.setOrder({Service, framework::SoftwareVersion("v2"), Duration, {}}, m_clock.now());
    ASSERT_TRUE(traffic.raise(protocol::RolloutStep::Everything));
    const auto *old = m_servers.findAdmitting(framework::BackendServerId("old0"));
    ASSERT_NE(old, nullptr);
    EXPECT_FALSE(traffic.admits(*old));
    removeServers("new");
    traffic.setServers(m_servers.admitting(Service));
    EXPECT_TRUE(traffic.admits(*old));
}
