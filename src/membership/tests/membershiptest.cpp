#include "configuration/types/configurationview.h"
#include "membership/iadmissiongate.h"
#include "membership/imembershiptracker.h"
#include "membership/membershipmodule.h"

#include <gtest/gtest.h>

using namespace lavendertally;
using namespace lavendertally::membership;
using framework::Milliseconds;
using framework::TimePoint;
using protocol::RefusalReason;

namespace {

const framework::ServiceId Encoder{"encoder"};
constexpr Milliseconds Second{1000};

HostEntry backend(const std::string &id, const std::string &zone)
{
    HostEntry entry;
    entry.id = framework::HostId(id);
    entry.zone = framework::AvailabilityZoneId(zone);
    entry.service = Encoder;
    entry.http = {"10.0.0.1", 80};
    return entry;
}

HostEntry leaving(HostEntry entry)
{
    entry.state = HostState::Leaving;
    return entry;
}

configuration::ConfigurationView view(std::uint64_t revision)
{
    configuration::ConfigurationView result;
    result.revision = framework::LogOffset(revision);
    return result;
}

configuration::ConfigurationView zoneOutView(std::uint64_t revision, const std::string &zone)
{
    configuration::ConfigurationView result = view(revision);
    result.zonesOutOfService.insert(framework::AvailabilityZoneId(zone));
    return result;
}

} // namespace

class MembershipTest : public testing::Test
{
protected:
    MembershipTest() : m_membership(MembershipModule::makeMembership())
    {
        m_membership->setOutOfService(view(1), m_now);
        m_membership->setHostList(fleet(), m_now);
    }

    static std::vector<HostEntry> fleet()
    {
        return {backend("a", "z1"), backend("b", "z1"), backend("c", "z2"), backend("d", "z2")};
    }

    std::vector<HostEntry> fleetWithLeavingA() const
    {
        std::vector<HostEntry> result = fleet();
        result[0] = leaving(result[0]);
        return result;
    }

    std::string admitting() const
    {
        std::string result;
        for (const HostEntry &entry : m_membership->admittingHosts(Encoder)) {
            result += entry.id.value();
        }
        return result;
    }

    void refuse(const std::string &host, RefusalReason reason, std::uint64_t revision)
    {
        m_membership->recordRefusal(framework::HostId(host), reason, framework::LogOffset(revision),
                                    m_now);
    }

    void advanceTime(Milliseconds time)
    {
        m_now = m_now + time;
        m_membership->expireHolds(m_now);
    }

    TimePoint m_now{1000};
    std::unique_ptr<IMembershipTracker> m_membership;
};

TEST_F(MembershipTest, LiveHosts_AdmitInStableOrder)
{
    EXPECT_EQ(admitting(), "abcd");
    EXPECT_TRUE(
        m_membership->mayReceiveWork(framework::HostId("a"), framework::AvailabilityZoneId("z1")));
}

TEST_F(MembershipTest, UnknownHost_ReceivesNoWork)
{
    EXPECT_FALSE(
        m_membership->mayReceiveWork(framework::HostId("x"), framework::AvailabilityZoneId("z1")));
}

TEST_F(MembershipTest, ZoneAndHostOut_ReceiveNoWorkUntilBack)
{
    configuration::ConfigurationView out = zoneOutView(2, "z1");
    out.hostsOutOfService.insert(framework::HostId("c"));
    m_membership->setOutOfService(out, m_now);
    EXPECT_EQ(admitting(), "d");
    m_membership->setOutOfService(view(3), m_now);
    EXPECT_EQ(admitting(), "abcd");
}

TEST_F(MembershipTest, OlderView_DoesNotBringZoneBack)
{
    m_membership->setOutOfService(zoneOutView(5, "z1"), m_now);
    m_membership->setOutOfService(view(4), m_now);
    EXPECT_EQ(admitting(), "cd");
}

TEST_F(MembershipTest, LeavingHost_ReceivesNoWorkAtOnce)
{
    m_membership->setHostList(fleetWithLeavingA(), m_now);
    EXPECT_EQ(admitting(), "bcd");
}

TEST_F(MembershipTest, LaggingListSaysLive_HostStaysLeaving)
{
    m_membership->setHostList(fleetWithLeavingA(), m_now);
    advanceTime(Second);
    m_membership->setHostList(fleet(), m_now);
    EXPECT_EQ(admitting(), "bcd");
}

TEST_F(MembershipTest, LaggingListBringsRemovedHostBack_HostStaysLeaving)
{
    m_membership->setHostList(fleetWithLeavingA(), m_now);
    advanceTime(Second);
    m_membership->setHostList({backend("b", "z1"), backend("c", "z2"), backend("d", "z2")}, m_now);
    advanceTime(Second);
    m_membership->setHostList(fleet(), m_now);
    EXPECT_EQ(admitting(), "bcd");
}

TEST_F(MembershipTest, LeavingRevoked_HostAdmitsAfterHold)
{
    m_membership->setHostList(fleetWithLeavingA(), m_now);
    advanceTime(MembershipLimits{}.leavingHold);
    m_membership->setHostList(fleet(), m_now);
    EXPECT_EQ(admitting(), "abcd");
}

TEST_F(MembershipTest, SuccessorWithSameIdAtOtherAddress_AdmitsAtOnce)
{
    m_membership->setHostList(fleetWithLeavingA(), m_now);
    std::vector<HostEntry> list = fleet();
    list[0].http = {"10.0.0.9", 80};
    m_membership->setHostList(list, m_now);
    EXPECT_EQ(admitting(), "abcd");
}

TEST_F(MembershipTest, ListOutage_KeepsLastList)
{
    for (int second = 0; second < 3600; ++second) {
        advanceTime(Second);
    }
    EXPECT_EQ(admitting(), "abcd");
}

TEST_F(MembershipTest, EmptyOrTruncatedResponse_KeepsAllHosts)
{
    for (const std::vector<HostEntry> &response :
         {std::vector<HostEntry>{}, std::vector<HostEntry>{backend("a", "z1")}}) {
        SCOPED_TRACE(response.size());
        m_membership->setHostList(response, m_now);
        EXPECT_EQ(admitting(), "abcd");
    }
}

TEST_F(MembershipTest, TruncatedResponse_LeavingRowStillCounts)
{
    m_membership->setHostList({leaving(backend("a", "z1"))}, m_now);
    EXPECT_EQ(admitting(), "bcd");
}

TEST_F(MembershipTest, PersistentShortResponses_CountInFull)
{
    const MembershipLimits limits;
    for (Milliseconds time{0}; time <= limits.shortListTime; time += Second) {
        m_membership->setHostList({backend("a", "z1")}, m_now);
        advanceTime(Second);
    }
    EXPECT_EQ(admitting(), "a");
}

TEST_F(MembershipTest, ShortResponseBetweenLongOnes_NeverCounts)
{
    for (int round = 0; round < 100; ++round) {
        m_membership->setHostList({}, m_now);
        advanceTime(Second);
        m_membership->setHostList(fleet(), m_now);
        advanceTime(Second);
        ASSERT_EQ(admitting(), "abcd");
    }
}

TEST_F(MembershipTest, HostMissingInFullResponse_IsDropped)
{
    m_membership->setHostList({backend("a", "z1"), backend("b", "z1"), backend("c", "z2")}, m_now);
    EXPECT_EQ(admitting(), "abc");
}

struct RefusalCase
{
    const char *name;
    RefusalReason reason;
    std::uint64_t revision;
    const char *admittingWhileHeld;
    Milliseconds hold;
};

class MembershipRefusalTest : public MembershipTest, public testing::WithParamInterface<RefusalCase>
{ };

TEST_P(MembershipRefusalTest, RefusingHost_IsHeldBackForBoundedTime)
{
    const RefusalCase &param = GetParam();
    refuse("a", param.reason, param.revision);
    EXPECT_EQ(admitting(), param.admittingWhileHeld);
    advanceTime(param.hold - Milliseconds(1));
    EXPECT_EQ(admitting(), param.admittingWhileHeld);
    advanceTime(Milliseconds(1));
    EXPECT_EQ(admitting(), "abcd");
}

INSTANTIATE_TEST_SUITE_P(Reasons, MembershipRefusalTest,
                         testing::Values(RefusalCase{"Leaving", RefusalReason::Leaving, 1, "bcd",
                                                     MembershipLimits{}.refusedLeavingHold},
                                         RefusalCase{"NewerZoneOut", RefusalReason::ZoneOut, 7,
                                                     "cd", MembershipLimits{}.newerRefusalHold},
                                         RefusalCase{"NewerHostOut", RefusalReason::HostOut, 7,
                                                     "bcd", MembershipLimits{}.newerRefusalHold},
                                         RefusalCase{"OlderZoneOut", RefusalReason::ZoneOut, 1,
                                                     "bcd", MembershipLimits{}.olderRefusalHold}),
                         [](const auto &info) { return info.param.name; });

TEST_F(MembershipTest, FullBackend_IsNotHeldBack)
{
    refuse("a", RefusalReason::Full, 9);
    EXPECT_EQ(admitting(), "abcd");
}

TEST_F(MembershipTest, OwnRevisionReachesRefusal_OwnViewDecides)
{
    refuse("a", RefusalReason::ZoneOut, 7);
    m_membership->setOutOfService(view(6), m_now);
    EXPECT_EQ(admitting(), "cd");
    m_membership->setOutOfService(view(7), m_now);
    EXPECT_EQ(admitting(), "abcd");
}

class AdmissionGateTest : public testing::Test
{
protected:
    AdmissionGateTest()
        : m_gate(MembershipModule::makeAdmissionGate(framework::HostId("a"),
                                                     framework::AvailabilityZoneId("z1")))
    { }

    std::unique_ptr<IAdmissionGate> m_gate;
};

TEST_F(AdmissionGateTest, NoConfiguration_RefusesAsNotReady)
{
    EXPECT_EQ(m_gate->refusal(), RefusalReason::NotReady);
}

TEST_F(AdmissionGateTest, ZoneOutThenIn_RefusesThenAdmits)
{
    m_gate->setView(zoneOutView(2, "z1"));
    EXPECT_EQ(m_gate->refusal(), RefusalReason::ZoneOut);
    m_gate->setView(view(1));
    EXPECT_EQ(m_gate->refusal(), RefusalReason::ZoneOut) << "an older view changed the gate";
    m_gate->setView(zoneOutView(3, "z2"));
    EXPECT_EQ(m_gate->refusal(), RefusalReason::None);
}

TEST_F(AdmissionGateTest, HostOut_Refuses)
{
    configuration::ConfigurationView out = view(2);
    out.hostsOutOfService.insert(framework::HostId("a"));
    m_gate->setView(out);
    EXPECT_EQ(m_gate->refusal(), RefusalReason::HostOut);
}

TEST_F(AdmissionGateTest, LeavingOrDrainingOrStale_Refuses)
{
    m_gate->setView(view(2));
    m_gate->setLeaving(true);
    EXPECT_EQ(m_gate->refusal(), RefusalReason::Leaving);
    m_gate->setLeaving(false);
    m_gate->setConfigurationCurrent(false);
    EXPECT_EQ(m_gate->refusal(), RefusalReason::NotReady);
    m_gate->setConfigurationCurrent(true);
    EXPECT_EQ(m_gate->refusal(), RefusalReason::None);
    m_gate->startDrain();
    EXPECT_EQ(m_gate->refusal(), RefusalReason::Leaving);
}
