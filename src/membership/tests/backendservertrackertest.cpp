#include "framework/testing/nulllogger.h"
#include "membership/ibackendservertracker.h"
#include "membership/membershipmodule.h"

#include <gtest/gtest.h>

using namespace lavendertally;
using namespace lavendertally::membership;

namespace {

constexpr framework::TimePoint Start(1000);
const framework::ServiceId Service("ledger");

BackendServerEntry entry(const std::string &id, const char *zone = "za",
                         BackendServerState state = BackendServerState::Ready)
{
    BackendServerEntry result;
    result.id = framework::BackendServerId(id);
    result.service = Service;
    result.endpoint = {"10.0.0.1", 80};
    result.zone = framework::AvailabilityZoneId(zone);
    result.state = state;
    return result;
}

} // namespace

class BackendServerTrackerTest : public testing::Test
{
protected:
    std::size_t admitting() const { return m_tracker->admitting(Service).size(); }

    framework::NullLogger m_logger;
    std::unique_ptr<IBackendServerTracker> m_tracker =
        MembershipModule::makeBackendServerTracker(m_logger);
};

TEST_F(BackendServerTrackerTest, ServerDrainingOrItsZoneOut_DoesNotAdmit)
{
    EXPECT_FALSE(m_tracker->hasSynced());
    m_tracker->put(entry("a"));
    m_tracker->put(entry("b", "zb"));
    m_tracker->put(entry("c", "za", BackendServerState::Draining));
    EXPECT_TRUE(m_tracker->hasSynced());
    EXPECT_EQ(admitting(), 2U);
    m_tracker->setZonesOut({framework::AvailabilityZoneId("zb")});
    EXPECT_EQ(admitting(), 1U);
    EXPECT_EQ(m_tracker->findAdmitting(framework::BackendServerId("b")), nullptr);
    EXPECT_TRUE(m_tracker->isReady(framework::BackendServerId("b")));
    EXPECT_FALSE(m_tracker->isReady(framework::BackendServerId("c")));
    EXPECT_FALSE(m_tracker->isReady(framework::BackendServerId("d")));
    m_tracker->setZonesOut({});
    EXPECT_EQ(admitting(), 2U);
}

TEST_F(BackendServerTrackerTest, ReadyServerStartsDraining_AdmitsNoMore)
{
    m_tracker->put(entry("a"));
    m_tracker->put(entry("a", "za", BackendServerState::Draining));
    EXPECT_EQ(admitting(), 0U);
}

TEST_F(BackendServerTrackerTest, RegistrationRemoved_ServerIsDroppedAtOnce)
{
    m_tracker->put(entry("a"));
    m_tracker->remove(framework::BackendServerId("a"), Start);
    EXPECT_EQ(admitting(), 0U);
}

TEST_F(BackendServerTrackerTest, RegistrationsLapsedDuringOutage_ServersAreKeptForGracePeriod)
{
    m_tracker->put(entry("a"));
    m_tracker->put(entry("b"));
    m_tracker->registryRecovered(Start);
    m_tracker->remove(framework::BackendServerId("a"), Start);
    m_tracker->remove(framework::BackendServerId("b"), Start);
    EXPECT_EQ(admitting(), 2U);
    m_tracker->put(entry("a"));
    m_tracker->expire(Start + framework::Milliseconds(1999));
    EXPECT_EQ(admitting(), 2U);
    m_tracker->expire(Start + framework::Milliseconds(2000));
    EXPECT_EQ(admitting(), 1U);
    EXPECT_NE(m_tracker->findAdmitting(framework::BackendServerId("a")), nullptr);
}

TEST_F(BackendServerTrackerTest, ServerMissingFromSnapshot_IsDropped)
{
    m_tracker->put(entry("a"));
    m_tracker->put(entry("b"));
    m_tracker->retainOnly({framework::BackendServerId("b")}, Start);
    EXPECT_EQ(admitting(), 1U);
    EXPECT_NE(m_tracker->findAdmitting(framework::BackendServerId("b")), nullptr);
}

TEST_F(BackendServerTrackerTest, HeartbeatWithoutChange_KeepsGeneration)
{
    m_tracker->put(entry("a"));
    const MembershipGeneration before = m_tracker->generation();
    BackendServerEntry again = entry("a");
    again.coldUntil = Start;
    m_tracker->put(again);
    EXPECT_EQ(m_tracker->generation(), before);
    EXPECT_EQ(m_tracker->admitting(Service).front()->coldUntil, Start);
}

TEST_F(BackendServerTrackerTest, EndpointChanges_NewOneIsUsedAtOnce)
{
    m_tracker->put(entry("a"));
    EXPECT_EQ(m_tracker->admitting(Service).front()->endpoint.port, 80);
    BackendServerEntry moved = entry("a");
    moved.endpoint.port = 81;
    m_tracker->put(moved);
    EXPECT_EQ(m_tracker->admitting(Service).front()->endpoint.port, 81);
}

TEST_F(BackendServerTrackerTest, SameRegistrationAgain_IsNoChange)
{
    EXPECT_TRUE(m_tracker->put(entry("a")));
    EXPECT_FALSE(m_tracker->put(entry("a")));
    BackendServerEntry changed = entry("a");
    changed.slots = 9;
    EXPECT_TRUE(m_tracker->put(changed));
    changed.coldUntil = Start + framework::Milliseconds(5000);
    EXPECT_TRUE(m_tracker->put(changed)) << "a new cold start is a change";
    changed.coldUntil = Start + framework::Milliseconds(5900);
    EXPECT_FALSE(m_tracker->put(changed)) << "the same cold start, reported later, is no change";
    changed.state = BackendServerState::Draining;
    EXPECT_TRUE(m_tracker->put(changed));
    EXPECT_FALSE(m_tracker->put(changed));
}

TEST_F(BackendServerTrackerTest,
       ServerSaysThatItLeaves_RegistrationDoesNotBringItBackButRestartDoes)
{
    BackendServerEntry server = entry("a");
    server.incarnation = framework::Incarnation(1);
    m_tracker->put(server);
    const MembershipGeneration before = m_tracker->generation();
    m_tracker->noteLeaving(server.lifetime());
    EXPECT_GT(m_tracker->generation(), before);
    EXPECT_EQ(admitting(), 0U);
    server.slots = 9;
    m_tracker->put(server);
    EXPECT_EQ(admitting(), 0U);
    server.incarnation = framework::Incarnation(2);
    m_tracker->put(server);
    EXPECT_EQ(admitting(), 1U);
    m_tracker->noteLeaving({framework::BackendServerId("unknown"), framework::Incarnation(1)});
    EXPECT_EQ(admitting(), 1U);
    server.incarnation = framework::Incarnation(1);
    m_tracker->put(server);
    EXPECT_EQ(admitting(), 0U) << "a late report of the start that left";
}

// Guards against a server without known starts that gets no work for good.
TEST_F(BackendServerTrackerTest, StartsCannotBeToldApart_ServerComesBackWithANewRegistration)
{
    const BackendServerEntry server = entry("a");
    m_tracker->put(server);
    m_tracker->noteLeaving(server.lifetime());
    EXPECT_EQ(admitting(), 0U);
    m_tracker->remove(server.id, Start);
    m_tracker->put(server);
    EXPECT_EQ(admitting(), 1U);
}

// Guards against memory that grows with each server that has ever left.
TEST_F(BackendServerTrackerTest, ManyServersLeave_OldestAreForgottenUnlessRegistered)
{
    constexpr int Servers = 5000;
    const auto number = [](int each) {
        BackendServerEntry server = entry("i-" + std::to_string(each));
        server.incarnation = framework::Incarnation(1);
        return server;
    };
    m_tracker->put(number(0));
    for (int each = 0; each < Servers; ++each) {
        m_tracker->noteLeaving(number(each).lifetime());
    }
    EXPECT_EQ(admitting(), 0U);
    m_tracker->put(number(1));
    EXPECT_EQ(admitting(), 1U) << "forgotten";
    m_tracker->put(number(Servers - 1));
    EXPECT_EQ(admitting(), 1U);
}
