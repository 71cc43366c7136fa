#include "connections/connectionsmodule.h"
#include "connections/iconnectionshares.h"
#include "framework/frameworkmodule.h"
#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "framework/imetrics.h"
#include "framework/itimer.h"
#include "framework/testing/nulllogger.h"
#include "membership/ibackendservertracker.h"
#include "membership/membershipmodule.h"
#include "peers/idaemondirectory.h"
#include "peers/types/daemonaddress.h"
#include "platform/iplatform.h"
#include "platform/platformmodule.h"
#include "platform/types/platformparts.h"
#include "replication/topicreplica.h"
#include "replication/types/replicatedtopic.h"
#include "serving/iservingtracker.h"
#include "serving/servingmodule.h"
#include "serving/types/servingconfiguration.h"
#include "standins/platformstorestandin.h"
#include "standins/types/fault.h"

#include <gtest/gtest.h>

#include <functional>

using namespace lavendertally;
using namespace lavendertally::platform;

namespace {

constexpr framework::Milliseconds WaitLimit{10000};
constexpr framework::Milliseconds PollInterval{5};
constexpr framework::Millicores Capacity{190};
/// Within this time after its removal, a server must get no more requests.
constexpr framework::Milliseconds DrainTime{2000};

std::string configuration(int version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})";
}

std::string server(const char *state = "ready")
{
    return std::string(R"({"service":"m","address":"127.0.0.1:9","zone":"za","slots":4,"state":")")
        + state + R"("})";
}

} // namespace

/// The adapter against the stand-in of the store.
class UsersPlatformTest : public testing::Test
{
protected:
    UsersPlatformTest()
        : m_loop(framework::FrameworkModule::makeEventLoop()),
          m_clock(framework::FrameworkModule::makeSystemClock()),
          m_metrics(framework::FrameworkModule::makeMetrics()),
          m_serving(serving::ServingModule::makeTracker(m_logger)),
          m_servers(membership::MembershipModule::makeBackendServerTracker(m_logger)),
          m_store(*m_loop)
    {
        const auto endpoint = m_store.listen({"127.0.0.1", 0}).value();
        m_shares = connections::ConnectionsModule::makeShares(*m_servers, *m_serving, *m_loop,
                                                              *m_clock, m_logger, *m_metrics);
        m_platform = PlatformModule::makePlatform({framework::DaemonId("self"), Capacity, endpoint,
                                                   *m_loop, *m_clock, m_logger, *m_metrics,
                                                   *m_serving, *m_servers, *m_shares});
    }

    void start() { m_platform->start({"127.0.0.1", 7}); }
    bool waitFor(const std::function<bool()> &condition)
    {
        const framework::TimePoint end = m_clock->now() + WaitLimit;
        while (!condition() && m_clock->now() < end) {
            const auto timer = m_loop->callAfter(PollInterval, [this] { m_loop->stop(); });
            m_loop->run();
        }
        return condition();
    }
    std::uint64_t version() const
    {
        const auto configuration = m_serving->configuration();
        return configuration ? configuration->version().value() : 0;
    }
    std::size_t admitting() const { return m_servers->admitting(framework::ServiceId("m")).size(); }
    void setFault(standins::FaultMode mode)
    {
        standins::Fault fault;
        fault.mode = mode;
        m_store.setFault(fault);
    }

    framework::NullLogger m_logger;
    std::unique_ptr<framework::IEventLoop> m_loop;
    std::unique_ptr<framework::IClock> m_clock;
    std::unique_ptr<framework::IMetrics> m_metrics;
    std::unique_ptr<serving::IServingTracker> m_serving;
    std::unique_ptr<membership::IBackendServerTracker> m_servers;
    standins::PlatformStoreStandIn m_store;
    std::unique_ptr<connections::IConnectionShares> m_shares;
    std::unique_ptr<IPlatform> m_platform;
};

TEST_F(UsersPlatformTest, StateComesFromTheNewestRecordsAndThenFromChanges)
{
    m_store.put("keyed.op", "config", configuration(3));
    m_store.put("keyed.servers", "i-1", server());
    start();
    ASSERT_TRUE(waitFor([this] { return version() == 3 && admitting() == 1; }));
    m_store.put("keyed.op", "config", configuration(8));
    m_store.put("keyed.servers", "i-2", server());
    ASSERT_TRUE(waitFor([this] { return version() == 8 && admitting() == 2; }));
    m_store.put("keyed.servers", "i-1", server("draining"));
    m_store.remove("keyed.servers", "i-2");
    ASSERT_TRUE(waitFor([this] { return admitting() == 0; }));
}

TEST_F(UsersPlatformTest, OlderOrUnreadableVersionChangesNothing)
{
    m_store.put("keyed.op", "config", configuration(8));
    start();
    ASSERT_TRUE(waitFor([this] { return version() == 8; }));
    m_store.put("keyed.op", "config", configuration(3));
    m_store.put("keyed.op", "config", "{");
    m_store.put("keyed.op", "evacuate/za", "{}");
    ASSERT_TRUE(
        waitFor([this] { return m_servers->isZoneOut(framework::AvailabilityZoneId("za")); }));
    EXPECT_EQ(version(), 8U);
}

TEST_F(UsersPlatformTest, VersionCannotBeUsed_OlderOneIsNoLongerConfirmedWhateverComesAfterIt)
{
    m_store.put("keyed.op", "config", configuration(3));
    start();
    ASSERT_TRUE(waitFor([this] { return version() == 3; }));
    m_store.put("keyed.op", "config", R"({"version":5,"routes":7,"services":[]})");
    ASSERT_TRUE(waitFor([this] { return m_serving->isNewestRejected(); }));
    const framework::TimePoint confirmed = m_serving->confirmedAt();
    m_store.put("keyed.op", "config", configuration(4));
    m_store.put("keyed.op", "evacuate/za", "{}");
    ASSERT_TRUE(
        waitFor([this] { return m_servers->isZoneOut(framework::AvailabilityZoneId("za")); }));
    EXPECT_EQ(version(), 3U) << "version 4 was written before version 5 and executed late";
    EXPECT_EQ(m_serving->confirmedAt(), confirmed);
    m_store.put("keyed.op", "config", configuration(6));
    ASSERT_TRUE(waitFor([&] { return version() == 6 && m_serving->confirmedAt() > confirmed; }));
}

TEST_F(UsersPlatformTest, ZoneComesBackWhenItsKeyIsDropped)
{
    m_store.put("keyed.op", "evacuate/za", "{}");
    start();
    const framework::AvailabilityZoneId zone("za");
    ASSERT_TRUE(waitFor([&] { return m_servers->isZoneOut(zone); }));
    m_store.remove("keyed.op", "evacuate/za");
    ASSERT_TRUE(waitFor([&] { return !m_servers->isZoneOut(zone); }));
}

TEST_F(UsersPlatformTest, DroppedHistoryIsReadAnew)
{
    m_store.put("keyed.op", "config", configuration(1));
    m_store.put("keyed.servers", "i-1", server());
    m_store.put("keyed.servers", "i-2", server());
    start();
    ASSERT_TRUE(waitFor([this] { return version() == 1 && admitting() == 2; }));
    setFault(standins::FaultMode::Down);
    m_store.put("keyed.op", "config", configuration(2));
    m_store.remove("keyed.servers", "i-1");
    m_store.dropHistory("keyed.op");
    m_store.dropHistory("keyed.servers");
    setFault(standins::FaultMode::None);
    ASSERT_TRUE(waitFor([this] {
        m_servers->expire(m_clock->now());
        return version() == 2 && admitting() == 1;
    }));
}

TEST_F(UsersPlatformTest, OneBadEntryHidesNoOther)
{
    m_store.put("keyed.servers", "bad", "\xff");
    m_store.put("keyed.servers", "i-1", server());
    start();
    ASSERT_TRUE(waitFor([this] { return admitting() == 1; }));
}

TEST_F(UsersPlatformTest, StoreThatIsAwayIsAskedAgainUntilItIsBack)
{
    m_store.put("keyed.op", "config", configuration(4));
    setFault(standins::FaultMode::Refuse);
    start();
    EXPECT_FALSE(m_serving->configuration());
    const auto timer = m_loop->callAfter(framework::Milliseconds(300), [this] { m_loop->stop(); });
    m_loop->run();
    EXPECT_FALSE(m_serving->configuration());
    setFault(standins::FaultMode::None);
    ASSERT_TRUE(waitFor([this] { return version() == 4; }));
}

TEST_F(UsersPlatformTest, ConfirmationCountsFromWhenItWasAskedFor)
{
    m_store.put("keyed.op", "config", configuration(4));
    const framework::TimePoint before = m_clock->now();
    start();
    ASSERT_TRUE(waitFor([this] { return version() == 4; }));
    EXPECT_GE(m_serving->confirmedAt(), before);
    EXPECT_LE(m_serving->confirmedAt(), m_clock->now());
    setFault(standins::FaultMode::Frozen);
    const auto timer = m_loop->callAfter(framework::Milliseconds(900), [this] { m_loop->stop(); });
    m_loop->run();
    const framework::TimePoint last = m_serving->confirmedAt();
    EXPECT_LT(last + framework::Milliseconds(100), m_clock->now());
}

TEST_F(UsersPlatformTest, DaemonsFindEachOther)
{
    m_store.put("keyed.daemons", "other", R"({"endpoint":"127.0.0.1:70"})");
    m_store.put("keyed.daemons", "odd", "{");
    start();
    ASSERT_TRUE(waitFor([this] { return m_platform->daemons().ranking().size() == 2; }));
    EXPECT_EQ(m_platform->daemons().limitSharerCount(), 2U);
    ASSERT_TRUE(waitFor([this] { return m_store.newest("keyed.daemons", "self").has_value(); }));
    m_platform->leave();
    ASSERT_TRUE(waitFor([this] { return !m_store.newest("keyed.daemons", "self").has_value(); }));
}

TEST_F(UsersPlatformTest, EntriesThatLapsedWhileTheStoreHungAreKeptForAWhile)
{
    m_store.put("keyed.op", "config", configuration(1));
    m_store.put("keyed.servers", "i-1", server());
    start();
    ASSERT_TRUE(waitFor([this] { return version() == 1 && admitting() == 1; }));
    m_store.put("keyed.servers", "i-2", server());
    ASSERT_TRUE(waitFor([this] { return admitting() == 2; }));
    // The next read hangs, but for less than the time-out of a call.
    setFault(standins::FaultMode::Frozen);
    const auto hang = m_loop->callAfter(framework::Milliseconds(2400), [this] { m_loop->stop(); });
    m_loop->run();
    m_store.remove("keyed.servers", "i-1");
    setFault(standins::FaultMode::None);
    const framework::TimePoint end = m_clock->now() + framework::Milliseconds(1500);
    while (m_clock->now() < end) {
        const auto timer = m_loop->callAfter(PollInterval, [this] { m_loop->stop(); });
        m_loop->run();
        m_servers->expire(m_clock->now());
        ASSERT_EQ(admitting(), 2U);
    }
    EXPECT_TRUE(waitFor([this] {
        m_servers->expire(m_clock->now());
        return admitting() == 1;
    })) << "an entry that stays away is gone";
}

TEST_F(UsersPlatformTest, OrderOfDaemonsOutlivesARestartAndNewOnesComeLast)
{
    m_store.put("keyed.daemons", "first", R"({"endpoint":"127.0.0.1:70","millicores":190})");
    m_store.put("keyed.daemons", "self", R"({"endpoint":"127.0.0.1:7"})");
    m_store.put("keyed.daemons", "third", R"({"endpoint":"127.0.0.1:71","millicores":190})");
    start();
    const auto ranking = [this] {
        std::string names;
        for (const peers::DaemonAddress &daemon : m_platform->daemons().ranking()) {
            names += daemon.daemon.value() + " ";
        }
        return names;
    };
    ASSERT_TRUE(waitFor([&] { return ranking() == "first self third "; })) << ranking();
    ASSERT_TRUE(waitFor([this] {
        return m_store.newest("keyed.daemons", "self").value_or("").find("joined")
            != std::string::npos;
    })) << "the offset of the first registration is named again";
    m_store.put("keyed.daemons", "first", R"({"endpoint":"127.0.0.1:72","millicores":190})");
    ASSERT_TRUE(waitFor([&] { return ranking() == "self third first "; })) << ranking();
    m_store.put("keyed.daemons", "third",
                R"({"endpoint":"127.0.0.1:71","joined":9,"millicores":190})");
    ASSERT_TRUE(waitFor([&] { return ranking() == "self first third "; })) << ranking();
}

TEST_F(UsersPlatformTest, LargerDaemonRegistersLater_ItLeadsTheRanking)
{
    m_store.put("keyed.daemons", "small", R"({"endpoint":"127.0.0.1:70","millicores":90})");
    start();
    const auto first = [this] { return m_platform->daemons().ranking().front().daemon.value(); };
    ASSERT_TRUE(waitFor([&] { return m_platform->daemons().ranking().size() == 2; }));
    EXPECT_EQ(first(), "self");
    m_store.put("keyed.daemons", "large", R"({"endpoint":"127.0.0.1:71","millicores":500})");
    EXPECT_TRUE(waitFor([&] { return first() == "large"; })) << first();
}

TEST_F(UsersPlatformTest, EntryThatIsRemovedWhilePeersReadTheStoreIsGoneAtOnce)
{
    m_store.put("keyed.servers", "i-1", server());
    start();
    ASSERT_TRUE(waitFor([this] { return admitting() == 1; }));
    setFault(standins::FaultMode::Refuse);
    // A peer can read the store all the while.
    const replication::ReplicatedTopic topic =
        m_platform->topic(protocol::StateTopic::BackendServers);
    const framework::TimePoint end = m_clock->now() + framework::Milliseconds(2500);
    while (m_clock->now() < end) {
        const auto timer = m_loop->callAfter(PollInterval, [this] { m_loop->stop(); });
        m_loop->run();
        topic.replica.append({}, topic.replica.next(), topic.replica.next(), m_clock->now(),
                             topic.replica.era());
    }
    m_store.remove("keyed.servers", "i-1");
    setFault(standins::FaultMode::None);
    const framework::TimePoint healed = m_clock->now();
    ASSERT_TRUE(waitFor([this] {
        m_servers->expire(m_clock->now());
        return admitting() == 0;
    }));
    EXPECT_LT(m_clock->now() - healed, framework::Milliseconds(1500));
}

/// Guards against servers that have left and are kept, since the trouble of one gateway counted as
/// an outage of the store.
TEST_F(UsersPlatformTest, ConnectionsAreResetAroundARemoval_ServerIsGoneWithTheNextRead)
{
    m_store.put("keyed.op", "config", configuration(1));
    m_store.put("keyed.servers", "i-1", server());
    m_store.put("keyed.servers", "i-2", server());
    start();
    ASSERT_TRUE(waitFor([this] { return admitting() == 2; }));
    const auto resetFor = [this](framework::Milliseconds time) {
        setFault(standins::FaultMode::Refuse);
        // A change, so that the next call is made at once.
        m_store.put("keyed.op", "config", configuration(static_cast<int>(version()) + 1));
        const auto timer = m_loop->callAfter(time, [this] { m_loop->stop(); });
        m_loop->run();
        setFault(standins::FaultMode::None);
    };
    const auto expectGoneSoon = [this](std::size_t left) {
        const framework::TimePoint removed = m_clock->now();
        ASSERT_TRUE(waitFor([&] {
            m_servers->expire(m_clock->now());
            return admitting() == left;
        }));
        EXPECT_LT(m_clock->now() - removed, DrainTime);
    };
    m_store.remove("keyed.servers", "i-1");
    resetFor(framework::Milliseconds(100));
    expectGoneSoon(1);
    resetFor(framework::Milliseconds(1100));
    m_store.remove("keyed.servers", "i-2");
    expectGoneSoon(0);
}

TEST_F(UsersPlatformTest, StoreRestoredFromCopy_ChangesAfterItAreAppliedAndStoreIsNotCalledInALoop)
{
    m_store.put("keyed.op", "config", configuration(3));
    m_store.put("keyed.servers", "i-1", server());
    start();
    ASSERT_TRUE(waitFor([this] { return version() == 3 && admitting() == 1; }));
    for (int number = 4; number <= 9; ++number) {
        m_store.put("keyed.op", "config", configuration(number));
    }
    ASSERT_TRUE(waitFor([this] { return version() == 9; }));
    m_store.restore({{"keyed.op", 1}, {"keyed.servers", 1}});
    const std::uint64_t calls = m_store.calls();
    const framework::TimePoint restored = m_clock->now();
    ASSERT_TRUE(waitFor([&] { return m_serving->confirmedAt() > restored; }));
    EXPECT_EQ(version(), 9U) << "a confirmed change stays in force";
    EXPECT_LT(m_store.calls() - calls, 20U);
    m_store.put("keyed.op", "config", configuration(12));
    ASSERT_TRUE(waitFor([this] { return version() == 12; }));
}

TEST_F(UsersPlatformTest, StoreRestoredBeforeItIsRead_RecordsAtKnownOffsetsAreApplied)
{
    m_store.put("keyed.op", "config", configuration(3));
    m_store.put("keyed.op", "config", configuration(4));
    start();
    ASSERT_TRUE(waitFor([this] { return version() == 4; }));
    m_store.restore({{"keyed.op", 1}});
    m_store.put("keyed.op", "config", configuration(6));
    m_store.put("keyed.op", "evacuate/za", "{}");
    ASSERT_TRUE(waitFor([this] { return version() == 6; }));
    ASSERT_TRUE(
        waitFor([this] { return m_servers->isZoneOut(framework::AvailabilityZoneId("za")); }));
}

TEST_F(UsersPlatformTest, EvacuationIsLostWithCopy_StaysInForceUntilWrittenAgain)
{
    const framework::AvailabilityZoneId zone("za");
    m_store.put("keyed.op", "config", configuration(3));
    m_store.put("keyed.op", "evacuate/za", "{}");
    start();
    ASSERT_TRUE(waitFor([&] { return m_servers->isZoneOut(zone); }));
    m_store.restore({{"keyed.op", 1}});
    const framework::TimePoint restored = m_clock->now();
    ASSERT_TRUE(waitFor([&] { return m_serving->confirmedAt() > restored; }));
    EXPECT_TRUE(m_servers->isZoneOut(zone));
    m_store.put("keyed.op", "evacuate/za", "{}");
    m_store.remove("keyed.op", "evacuate/za");
    ASSERT_TRUE(waitFor([&] { return !m_servers->isZoneOut(zone); }));
}

TEST_F(UsersPlatformTest, StoreRestoredFromCopy_ServerThatHasLeftDoesNotComeBack)
{
    const auto report = [](int number, const char *state) {
        return std::string(R"({"service":"m","address":"127.0.0.1:9","zone":"za","slots":4,)")
            + R"("born":1700000000000,"sequence":)" + std::to_string(number) + R"(,"state":")"
            + state + R"("})";
    };
    m_store.put("keyed.servers", "gone", report(5, "ready"));
    m_store.put("keyed.servers", "drains", report(5, "ready"));
    start();
    ASSERT_TRUE(waitFor([this] { return admitting() == 2; }));
    m_store.put("keyed.servers", "drains", report(6, "draining"));
    m_store.remove("keyed.servers", "gone");
    ASSERT_TRUE(waitFor([this] { return admitting() == 0; }));
    m_store.restore({{"keyed.servers", 2}});
    m_store.put("keyed.servers", "new", report(1, "ready"));
    ASSERT_TRUE(waitFor([this] { return admitting() > 0; }));
    EXPECT_EQ(admitting(), 1U);
    m_store.put("keyed.servers", "gone", report(7, "ready"));
    ASSERT_TRUE(waitFor([this] { return admitting() == 2; }));
}

TEST_F(UsersPlatformTest, StoreRestoredFromCopy_DaemonRegistersAgain)
{
    start();
    ASSERT_TRUE(waitFor([this] { return m_store.newest("keyed.daemons", "self").has_value(); }));
    m_store.restore({});
    m_store.put("keyed.op", "config", configuration(3));
    ASSERT_TRUE(waitFor([this] { return m_store.newest("keyed.daemons", "self").has_value(); }));
}

TEST_F(UsersPlatformTest, HistoryStaysDroppedAtTheNewestOffset_StoreIsNotCalledWithoutPause)
{
    m_store.put("keyed.op", "config", configuration(3));
    m_store.setAlwaysGone(true);
    start();
    ASSERT_TRUE(waitFor([this] { return version() == 3; }));
    const std::uint64_t calls = m_store.calls();
    const framework::TimePoint end = m_clock->now() + framework::Milliseconds(1500);
    waitFor([&] { return m_clock->now() >= end; });
    EXPECT_LT(m_store.calls() - calls, 60U);
    m_store.setAlwaysGone(false);
    m_store.put("keyed.op", "config", configuration(4));
    EXPECT_TRUE(waitFor([this] { return version() == 4; }));
}

TEST_F(UsersPlatformTest, OddEntriesAmongThoseOfServers_NameNoServerAndOthersAreFollowed)
{
    constexpr std::size_t Depth = 300000;
    const std::string deep = std::string(Depth, '[') + std::string(Depth, ']');
    const auto with = [](const std::string &member) {
        return std::string(R"({"service":"m","address":"127.0.0.1:9","zone":"za","slots":4,)")
            + R"("state":"ready",)" + member + "}";
    };
    const auto at = [](const std::string &address) {
        return R"({"service":"m","address":")" + address
            + R"(","zone":"za","slots":4,"state":"ready"})";
    };
    const std::vector<std::pair<std::string, std::string>> odd = {
        {"deep", deep},
        {"open", std::string(Depth, '[')},
        {"objects", std::string(Depth, '{')},
        {"port", at("127.0.0.1:99999")},
        {"port0", at("127.0.0.1:0")},
        {"negative", at("127.0.0.1:-1")},
        {"huge", with(R"("coldRemainingMs":9223372036854775807)")},
        {"overflow", with(R"("coldRemainingMs":1e999)")},
        {"unsigned", with(R"("sequence":18446744073709551616)")},
        {"slots",
         R"({"service":"m","address":"127.0.0.1:9","zone":"za","slots":4294967296,)"
         R"("state":"ready"})"},
        {"fraction", with(R"("born":1.5)")},
        {"line\r\nInjected: 1", at("127.0.0.1:9")},
        {"bytes", "\xff\xfe\x01"},
        {"member",
         R"({"service":"m","address":"127.0.0.1:9","zone":"za","slots":4,)"
         R"("state":"draining","more":)"
             + deep + "}"},
        {"spaces", at("no address:80")},
    };
    m_store.put("keyed.servers", "i-1", server());
    for (const auto &[key, value] : odd) {
        m_store.put("keyed.servers", key, value);
    }
    start();
    ASSERT_TRUE(waitFor([this] { return admitting() == 1; }));
    for (const auto &[key, value] : odd) {
        m_store.put("keyed.servers", key + "2", value);
        m_store.put("keyed.daemons", key, value);
    }
    m_store.put("keyed.servers", "i-2", server());
    ASSERT_TRUE(waitFor([this] { return admitting() == 2; }));
    m_store.put("keyed.servers", "i-1", server("draining"));
    ASSERT_TRUE(waitFor([this] { return admitting() == 1; }));
    EXPECT_EQ(m_platform->daemons().ranking().size(), 1U);
}
