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
#include "platform/iplatform.h"
#include "platform/platformmodule.h"
#include "platform/types/platformparts.h"
#include "replication/itopicsource.h"
#include "replication/topicreplica.h"
#include "replication/types/replicatedtopic.h"
#include "replication/types/sourcemode.h"
#include "replication/types/topicchanges.h"
#include "serving/iservingtracker.h"
#include "serving/servingmodule.h"
#include "serving/types/servingconfiguration.h"
#include "standins/platformstorestandin.h"

#include <gtest/gtest.h>

#include <functional>

using namespace lavendertally;
using namespace lavendertally::platform;
using protocol::StateTopic;

namespace {

constexpr framework::Milliseconds WaitLimit{10000};
constexpr framework::Milliseconds PollInterval{5};
constexpr framework::Millicores Capacity{190};
constexpr const char *Servers = "keyed.servers";
constexpr const char *Server = "i-1";
constexpr int FirstStart = 1;
constexpr int SecondStart = 2;

std::string report(int born, int sequence, const char *state, int port = 9)
{
    return R"({"service":"m","address":"127.0.0.1:)" + std::to_string(port)
        + R"(","zone":"za","slots":4,"born":)" + std::to_string(born) + R"(,"sequence":)"
        + std::to_string(sequence) + R"(,"state":")" + state + R"("})";
}

/// What one gateway knows of the store.
struct Gateway
{
    Gateway(const char *name, framework::IEventLoop &loop, const framework::IClock &clock,
            const framework::Endpoint &store)
        : serving(serving::ServingModule::makeTracker(logger)),
          servers(membership::MembershipModule::makeBackendServerTracker(logger)),
          shares(connections::ConnectionsModule::makeShares(*servers, *serving, loop, clock, logger,
                                                            *metrics)),
          platform(
              PlatformModule::makePlatform({framework::DaemonId(name), Capacity, store, loop, clock,
                                            logger, *metrics, *serving, *servers, *shares}))
    { }

    replication::ReplicatedTopic topic(StateTopic name) { return platform->topic(name); }
    replication::TopicReplica &entries() { return topic(StateTopic::BackendServers).replica; }
    void setMode(replication::SourceMode mode)
    {
        for (const StateTopic name : {StateTopic::BackendServers, StateTopic::Operators}) {
            topic(name).source.setMode(mode);
        }
    }
    std::size_t admitting() const { return servers->admitting(framework::ServiceId("m")).size(); }
    std::uint64_t version() const
    {
        return serving->configuration() ? serving->configuration()->version().value() : 0;
    }
    bool admitsAt(std::uint16_t port) const
    {
        const auto *entry = servers->findAdmitting(framework::BackendServerId(Server));
        return entry != nullptr && entry->endpoint.port == port;
    }

    framework::NullLogger logger;
    std::unique_ptr<framework::IMetrics> metrics = framework::FrameworkModule::makeMetrics();
    std::unique_ptr<serving::IServingTracker> serving;
    std::unique_ptr<membership::IBackendServerTracker> servers;
    std::unique_ptr<connections::IConnectionShares> shares;
    std::unique_ptr<IPlatform> platform;
};

} // namespace

/// Guards against backend servers that drain or have left and get requests, since the store
/// executed a heartbeat of theirs late. One gateway reads the store, another follows it.
class LateReportTest : public testing::Test
{
protected:
    LateReportTest()
        : m_loop(framework::FrameworkModule::makeEventLoop()),
          m_clock(framework::FrameworkModule::makeSystemClock()), m_store(*m_loop),
          m_endpoint(m_store.listen({"127.0.0.1", 0}).value())
    {
        m_store.put("keyed.op", "config", R"({"version":1,"routes":[],"services":[]})");
        write(report(FirstStart, 1, "ready"));
        m_reader.platform->start({"127.0.0.1", 7});
        m_follower.platform->start({"127.0.0.1", 8});
        EXPECT_TRUE(waitFor([this] {
            return m_reader.admitting() == 1 && m_follower.admitting() == 1
                && m_reader.version() == 1 && m_follower.version() == 1;
        }));
        m_follower.setMode(replication::SourceMode::Off);
        // A read that was under way is completed.
        write(report(FirstStart, 2, "ready"));
        EXPECT_TRUE(waitFor([this] { return isReadBy(m_reader); }));
        pass();
        // Heartbeats of which the follower hears nothing.
        for (int sequence = 3; sequence <= 20; ++sequence) {
            write(report(FirstStart, sequence, "ready"));
        }
        read();
    }
    void write(const std::string &value)
    {
        m_store.put(Servers, Server, value);
        ++m_end;
    }
    void remove()
    {
        m_store.remove(Servers, Server);
        ++m_end;
    }
    bool isReadBy(Gateway &gateway) const
    {
        return gateway.entries().next() == framework::LogOffset(m_end);
    }
    /// Waits until the reader has read all that was written, and passes it to the follower.
    void read()
    {
        ASSERT_TRUE(waitFor([this] { return isReadBy(m_reader); }));
        pass();
    }
    /// Brings the follower up to date, as the exchange between gateways does.
    void pass()
    {
        for (const StateTopic name : {StateTopic::BackendServers, StateTopic::Operators}) {
            const replication::TopicReplica &from = m_reader.topic(name).replica;
            replication::TopicReplica &to = m_follower.topic(name).replica;
            const auto changes = from.changesSince(to.next());
            const framework::TimePoint confirmed = from.confirmedAt();
            if (changes.isComplete) {
                to.replace(changes.records, changes.next, confirmed, from.era());
            } else {
                to.append(changes.records, to.next(), changes.next, confirmed, from.era());
            }
        }
    }
    bool waitFor(const std::function<bool()> &condition)
    {
        const framework::TimePoint end = m_clock->now() + WaitLimit;
        while (!condition() && m_clock->now() < end) {
            const auto timer = m_loop->callAfter(PollInterval, [this] { m_loop->stop(); });
            m_loop->run();
        }
        return condition();
    }
    void expectNoneAdmits()
    {
        EXPECT_EQ(m_reader.admitting(), 0U);
        EXPECT_EQ(m_follower.admitting(), 0U);
    }

    std::unique_ptr<framework::IEventLoop> m_loop;
    std::unique_ptr<framework::IClock> m_clock;
    standins::PlatformStoreStandIn m_store;
    framework::Endpoint m_endpoint;
    Gateway m_reader{"reader", *m_loop, *m_clock, m_endpoint};
    Gateway m_follower{"follower", *m_loop, *m_clock, m_endpoint};
    std::uint64_t m_end = 0;
};

TEST_F(LateReportTest, HeartbeatLandsInTheReadOfTheDrainingReport_NoGatewayUsesTheServer)
{
    write(report(FirstStart, 22, "draining"));
    write(report(FirstStart, 21, "ready"));
    read();
    expectNoneAdmits();
    write(report(FirstStart, 23, "draining"));
    read();
    expectNoneAdmits();
}

TEST_F(LateReportTest, HeartbeatLandsInAReadOfItsOwn_GatewayThatFollowsLaterDoesNotUseTheServer)
{
    write(report(FirstStart, 22, "draining"));
    ASSERT_TRUE(waitFor([this] { return isReadBy(m_reader); }));
    write(report(FirstStart, 21, "ready"));
    read();
    expectNoneAdmits();
}

TEST_F(LateReportTest, HeartbeatLandsAfterTheRemoval_NoGatewayUsesTheServer)
{
    remove();
    read();
    write(report(FirstStart, 19, "ready"));
    read();
    expectNoneAdmits();
    write(report(FirstStart, 21, "ready"));
    read();
    EXPECT_EQ(m_follower.admitting(), 1U) << "a report that is new brings it back";
}

TEST_F(LateReportTest, HeartbeatIsAmongTheNewestRecordsAfterADroppedHistory_NoGatewayUsesTheServer)
{
    write(report(FirstStart, 22, "draining"));
    read();
    write(report(FirstStart, 21, "ready"));
    m_store.dropHistory(Servers);
    read();
    expectNoneAdmits();
    remove();
    read();
    write(report(FirstStart, 20, "ready"));
    m_store.dropHistory(Servers);
    read();
    expectNoneAdmits();
    write(report(FirstStart, 23, "ready"));
    read();
    ASSERT_EQ(m_follower.admitting(), 1U);
    remove();
    write(report(FirstStart, 21, "ready"));
    m_store.dropHistory(Servers);
    read();
    expectNoneAdmits();
    for (const auto &record : m_reader.entries().changesSince(std::nullopt).records) {
        EXPECT_FALSE(record.value) << "a gateway that starts would take it from this one";
    }
}

TEST_F(LateReportTest, FollowerReadsTheStoreItself_LateHeartbeatsDoNotBringTheServerBack)
{
    m_follower.setMode(replication::SourceMode::Leading);
    remove();
    write(report(FirstStart, 19, "ready"));
    ASSERT_TRUE(waitFor([this] { return isReadBy(m_follower); }));
    EXPECT_EQ(m_follower.admitting(), 0U);
    ASSERT_TRUE(waitFor([this] { return isReadBy(m_reader); }));
    EXPECT_EQ(m_reader.admitting(), 0U);
}

TEST_F(LateReportTest, ServerHasStartedAgain_HeartbeatOfTheEarlierStartChangesNothing)
{
    constexpr std::uint16_t NewPort = 10;
    write(report(SecondStart, 1, "ready", NewPort));
    write(report(FirstStart, 21, "ready"));
    read();
    EXPECT_TRUE(m_reader.admitsAt(NewPort));
    EXPECT_TRUE(m_follower.admitsAt(NewPort));
    write(report(SecondStart, 2, "draining", NewPort));
    write(report(FirstStart, 22, "ready"));
    read();
    expectNoneAdmits();
    remove();
    write(report(FirstStart, 23, "ready"));
    read();
    expectNoneAdmits();
}

TEST_F(LateReportTest, OlderConfigurationLands_NeitherUsedNorPassedOn)
{
    m_store.put("keyed.op", "config", R"({"version":3,"routes":[],"services":[]})");
    ASSERT_TRUE(waitFor([this] { return m_reader.version() == 3; }));
    m_store.put("keyed.op", "config", R"({"version":2,"routes":[],"services":[]})");
    const auto isRead = [this] {
        return m_reader.topic(StateTopic::Operators).replica.next() == framework::LogOffset(3);
    };
    ASSERT_TRUE(waitFor(isRead));
    const auto whole = m_reader.topic(StateTopic::Operators).replica.changesSince(std::nullopt);
    ASSERT_EQ(whole.records.size(), 1U);
    EXPECT_NE(whole.records[0].value.value_or("").find(R"("version":3)"), std::string::npos);
    pass();
    EXPECT_EQ(m_follower.version(), 3U);
}
