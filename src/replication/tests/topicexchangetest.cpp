#include "replication/topicexchange.h"
#include "framework/frameworkmodule.h"
#include "framework/imetrics.h"
#include "framework/testing/fakeclock.h"
#include "framework/testing/fakescheduler.h"
#include "framework/testing/nulllogger.h"
#include "framework/types/endpoint.h"
#include "peers/idaemondirectory.h"
#include "peers/leadingdaemons.h"
#include "peers/testing/fakepeernetwork.h"
#include "replication/itopicsource.h"
#include "replication/tests/recordingobserver.h"
#include "replication/topicreplica.h"
#include "replication/types/replicatedtopic.h"
#include "replication/types/sourcemode.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace lavendertally;
using namespace lavendertally::replication;
using framework::DaemonId;
using framework::LogOffset;
using framework::Milliseconds;
using framework::TimePoint;
using protocol::StateTopic;

namespace {

using State = std::map<std::string, std::string>;

constexpr Milliseconds MaxStaleness{2000};
constexpr Milliseconds PingInterval{200};
constexpr Milliseconds ReadInterval{1000};

class FakeDirectory final : public peers::IDaemonDirectory
{
public:
    const std::vector<peers::DaemonAddress> &ranking() const override { return m_ranking; }
    std::size_t limitSharerCount() const override { return m_ranking.size(); }
    void onChange(std::function<void()> callback) override { m_callback = std::move(callback); }
    void set(std::vector<peers::DaemonAddress> ranking)
    {
        m_ranking = std::move(ranking);
        m_callback();
    }

private:
    std::vector<peers::DaemonAddress> m_ranking;
    std::function<void()> m_callback;
};

class FakeSource final : public ITopicSource
{
public:
    void setMode(SourceMode mode) override { isActive = mode != SourceMode::Off; }

    bool isActive = true;
};

/// Fake of the store with one topic.
struct Store
{
    std::vector<protocol::TopicRecord> records;

    void put(const char *key, const char *value)
    {
        records.push_back({LogOffset(records.size()), key, value});
    }
    /// Comes back from a copy that holds the first \p count records.
    void restore(std::size_t count)
    {
        records.resize(count);
        era = era.next();
    }

    framework::StoreEra era{1};
};

struct Daemon
{
    Daemon(const DaemonId &id, framework::IScheduler &scheduler, const framework::IClock &clock)
        : network(id, clock), metrics(framework::FrameworkModule::makeMetrics()),
          exchange(id, network, directory, scheduler, clock, logger, *metrics)
    {
        exchange.add(StateTopic::Operators, {replica, source}, MaxStaleness);
    }
    void readStore(const Store &store, TimePoint now)
    {
        if (isCutOff || !source.isActive) {
            return;
        }
        ++readCount;
        const LogOffset end(store.records.size());
        if (!replica.isLoaded() || replica.era() != store.era) {
            replica.replace(store.records, end, now, store.era);
            return;
        }
        replica.append({store.records.begin() + static_cast<std::ptrdiff_t>(replica.next().value()),
                        store.records.end()},
                       replica.next(), end, now, store.era);
    }

    framework::NullLogger logger;
    FakeDirectory directory;
    peers::FakePeerNetwork network;
    std::unique_ptr<framework::IMetrics> metrics;
    RecordingObserver observer;
    TopicReplica replica{observer};
    FakeSource source;
    TopicExchange exchange;
    bool isCutOff = false;
    int readCount = 0;
};

} // namespace

/// Four daemons in ranking order, each with links to the first three.
class TopicExchangeTest : public testing::Test
{
protected:
    TopicExchangeTest() : m_scheduler(m_clock)
    {
        m_clock.set(TimePoint(100000));
        std::vector<peers::DaemonAddress> addresses;
        for (const char *name : {"a", "b", "c", "d"}) {
            addresses.push_back({DaemonId(name), {}});
            m_order.emplace_back(name);
        }
        for (const DaemonId &id : m_order) {
            m_daemons.push_back(std::make_unique<Daemon>(id, m_scheduler, m_clock));
        }
        for (std::size_t each = 0; each < m_order.size(); ++each) {
            for (std::size_t other = 0; other < peers::LeadingDaemons; ++other) {
                if (each != other) {
                    m_daemons[each]->network.links[m_order[other]] = &m_daemons[other]->network;
                }
            }
            m_daemons[other(each)]->network.links[m_order[each]] = &m_daemons[each]->network;
            m_daemons[each]->directory.set(addresses);
        }
        // Leading daemons answer the last one on the link that it has opened.
        for (std::size_t leader = 0; leader < peers::LeadingDaemons; ++leader) {
            m_daemons[leader]->network.links[m_order[3]] = &m_daemons[3]->network;
        }
        m_store.put("k", "1");
    }
    static std::size_t other(std::size_t index) { return index == 0 ? 1 : 0; }

    Daemon &first() { return *m_daemons[0]; }
    Daemon &second() { return *m_daemons[1]; }
    Daemon &last() { return *m_daemons[3]; }

    void startAll()
    {
        for (const auto &daemon : m_daemons) {
            daemon->readStore(m_store, m_clock.now());
            daemon->exchange.start({});
        }
    }
    /// Advances the clock while the daemons read the store and ping the leading daemons.
    void advance(Milliseconds time)
    {
        const TimePoint end = m_clock.now() + time;
        while (m_clock.now() < end) {
            m_scheduler.advance(PingInterval);
            for (std::size_t each = 0; each < m_daemons.size(); ++each) {
                m_elapsed[each] = m_elapsed[each] + PingInterval;
                if (m_elapsed[each] >= ReadInterval) {
                    m_elapsed[each] = Milliseconds(0);
                    m_daemons[each]->readStore(m_store, m_clock.now());
                }
                for (std::size_t leader = 0; leader < peers::LeadingDaemons; ++leader) {
                    if (each != leader && !m_isDown[leader] && !m_isDown[each]) {
                        m_daemons[each]->network.ping(m_order[leader]);
                    }
                }
            }
        }
    }
    Milliseconds age(const Daemon &daemon) const
    {
        return m_clock.now() - daemon.replica.confirmedAt();
    }

    framework::FakeClock m_clock;
    framework::FakeScheduler m_scheduler;
    std::vector<DaemonId> m_order;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::map<std::size_t, Milliseconds> m_elapsed;
    std::map<std::size_t, bool> m_isDown;
    Store m_store;
};

TEST_F(TopicExchangeTest, FourDaemonsUp_OnlyTwoReadTheStore)
{
    startAll();
    advance(Milliseconds(4000));
    EXPECT_TRUE(first().source.isActive);
    EXPECT_TRUE(second().source.isActive);
    EXPECT_FALSE(m_daemons[2]->source.isActive);
    EXPECT_FALSE(last().source.isActive);
    const int readCount = last().readCount;
    m_store.put("k", "2");
    advance(ReadInterval + PingInterval);
    EXPECT_EQ(last().observer.state, (State{{"k", "2"}}));
    advance(Milliseconds(20000));
    EXPECT_EQ(last().readCount, readCount);
    EXPECT_LE(age(last()), ReadInterval + PingInterval);
}

TEST_F(TopicExchangeTest, RecordChangesNothing_NoMessageIsSent)
{
    startAll();
    advance(Milliseconds(4000));
    const int before = last().network.sentCount;
    m_store.put("k", "1");
    advance(Milliseconds(20000));
    EXPECT_EQ(last().network.sentCount, before)
        << "a record that changes nothing must not cause a query";
}

TEST_F(TopicExchangeTest, AllLeadingDaemonsDown_FollowerReadsTheStore)
{
    startAll();
    advance(Milliseconds(4000));
    m_isDown = {{0, true}, {1, true}, {2, true}};
    m_store.put("k", "2");
    advance(MaxStaleness + ReadInterval + PingInterval);
    EXPECT_TRUE(last().source.isActive);
    EXPECT_EQ(last().observer.state, (State{{"k", "2"}}));
    m_isDown.clear();
    advance(Milliseconds(3000));
    EXPECT_FALSE(last().source.isActive);
}

TEST_F(TopicExchangeTest, ReadersUnreachable_NextOnesInRankingReadForAll)
{
    startAll();
    advance(Milliseconds(4000));
    m_isDown = {{0, true}, {1, true}};
    for (const auto &daemon : m_daemons) {
        daemon->network.unreachable = {m_order[0], m_order[1]};
    }
    advance(Milliseconds(1000));
    EXPECT_TRUE(m_daemons[2]->source.isActive);
    EXPECT_TRUE(last().source.isActive) << "two read the store for all";
    m_daemons[3]->network.unreachable = {m_order[0]};
    m_isDown = {{0, true}};
    advance(Milliseconds(4000));
    EXPECT_FALSE(last().source.isActive);
    EXPECT_LE(age(last()), ReadInterval + PingInterval);
}

TEST_F(TopicExchangeTest, PeersAnswerButCannotReadTheStore_LaterDaemonsWaitLonger)
{
    startAll();
    advance(Milliseconds(4000));
    for (const auto &daemon : m_daemons) {
        daemon->isCutOff = true;
    }
    std::vector<peers::DaemonAddress> ranking;
    for (const char *name : {"a", "b", "c"}) {
        ranking.push_back({DaemonId(name), {}});
    }
    constexpr int DaemonsBetween = 60;
    for (int number = 0; number < DaemonsBetween; ++number) {
        ranking.push_back({DaemonId("between" + std::to_string(number)), {}});
    }
    ranking.push_back({m_order[3], {}});
    last().directory.set(ranking);
    advance(MaxStaleness + PingInterval + PingInterval);
    EXPECT_TRUE(m_daemons[2]->source.isActive) << "the next in the ranking does not wait";
    EXPECT_FALSE(last().source.isActive);
    advance(Milliseconds(1000));
    EXPECT_TRUE(last().source.isActive) << "a daemon that others cannot help reads the store";
}

TEST_F(TopicExchangeTest, StoreTurnsLeadingDaemonsAway_NextOneReadsAndTellsThem)
{
    startAll();
    advance(Milliseconds(4000));
    for (std::size_t leader = 0; leader < peers::LeadingDaemons; ++leader) {
        m_daemons[leader]->isCutOff = true;
    }
    m_store.put("k", "2");
    EXPECT_TRUE(last().network.isInformed(m_order[0]));
    advance(MaxStaleness + ReadInterval + PingInterval);
    EXPECT_FALSE(last().network.isInformed(m_order[0]));
    EXPECT_TRUE(last().source.isActive) << "the first one that the store serves";
    EXPECT_EQ(last().observer.state, (State{{"k", "2"}}));
    first().network.ping(m_order[3]);
    first().network.ping(m_order[3]);
    EXPECT_TRUE(first().network.isInformed(m_order[3]));
    EXPECT_EQ(first().observer.state, (State{{"k", "2"}}));
    EXPECT_LE(age(first()), ReadInterval + PingInterval);
}

TEST_F(TopicExchangeTest, OneReaderDown_FollowerStaysUpToDate)
{
    startAll();
    advance(Milliseconds(4000));
    m_isDown[0] = true;
    advance(Milliseconds(10000));
    EXPECT_FALSE(last().source.isActive);
    EXPECT_LE(age(last()), ReadInterval + PingInterval);
}

TEST_F(TopicExchangeTest, ReaderCutOffFromStore_FollowsTheOtherReader)
{
    startAll();
    advance(Milliseconds(4000));
    first().isCutOff = true;
    m_store.put("k", "2");
    advance(Milliseconds(5000));
    EXPECT_EQ(first().observer.state, (State{{"k", "2"}}));
    EXPECT_LE(age(first()), ReadInterval + PingInterval);
    EXPECT_TRUE(first().source.isActive) << "a leading reader keeps trying to reach the store";
}

TEST_F(TopicExchangeTest, NoDaemonReachesTheStore_ConfirmationDoesNotAdvance)
{
    startAll();
    const TimePoint start = m_clock.now();
    for (const auto &daemon : m_daemons) {
        daemon->isCutOff = true;
    }
    advance(Milliseconds(10000));
    for (const auto &daemon : m_daemons) {
        EXPECT_EQ(daemon->replica.confirmedAt(), start);
        EXPECT_TRUE(daemon->source.isActive);
    }
}

TEST_F(TopicExchangeTest, StoreUnreachableAtStart_StateIsLoadedFromSeed)
{
    first().readStore(m_store, m_clock.now());
    first().exchange.start({});
    last().isCutOff = true;
    last().exchange.start({{"127.0.0.1", 1}, {"127.0.0.1", 2}});
    m_scheduler.advance(Milliseconds(400));
    EXPECT_EQ(last().network.seedCount, 0U);
    m_scheduler.advance(Milliseconds(400));
    EXPECT_EQ(last().network.seedCount, 2U);
    last().network.ping(m_order[0]);
    EXPECT_EQ(last().observer.state, (State{{"k", "1"}}));
    m_scheduler.advance(Milliseconds(400));
    EXPECT_EQ(last().network.seedCount, 0U)
        << "links to seeds must be closed once the state is loaded";
}

TEST_F(TopicExchangeTest, PongDelayed_AgeCountsFromThePing)
{
    startAll();
    advance(Milliseconds(4000));
    last().isCutOff = true;
    first().readStore(m_store, m_clock.now());
    const TimePoint pingSent = m_clock.now();
    last().network.ping(m_order[0], &m_clock, Milliseconds(1200));
    EXPECT_EQ(last().replica.confirmedAt(), pingSent);
}

TEST_F(TopicExchangeTest, LinkLostWithQueryInFlight_AnotherPeerIsQueried)
{
    startAll();
    advance(Milliseconds(4000));
    m_store.put("k", "2");
    first().readStore(m_store, m_clock.now());
    second().readStore(m_store, m_clock.now());
    last().network.dropsMessages = true;
    last().network.ping(m_order[0]);
    last().network.dropsMessages = false;
    last().network.ping(m_order[1]);
    EXPECT_EQ(last().observer.state, (State{{"k", "1"}})) << "only one query may be in flight";
    last().network.loseLink(m_order[0]);
    last().network.ping(m_order[1]);
    EXPECT_EQ(last().observer.state, (State{{"k", "2"}}));
}

TEST_F(TopicExchangeTest, QueryUnanswered_IsRepeatedAfterTimeout)
{
    startAll();
    advance(Milliseconds(4000));
    m_store.put("k", "2");
    first().readStore(m_store, m_clock.now());
    last().network.dropsMessages = true;
    last().network.ping(m_order[0]);
    last().network.dropsMessages = false;
    advance(Milliseconds(2000));
    EXPECT_EQ(last().observer.state, (State{{"k", "2"}}));
}

TEST_F(TopicExchangeTest, StoreRecovers_AllDaemonsAreNotifiedOnce)
{
    startAll();
    advance(Milliseconds(4000));
    for (const auto &daemon : m_daemons) {
        daemon->isCutOff = true;
    }
    const TimePoint began = first().replica.confirmedAt();
    advance(Milliseconds(3000));
    for (const auto &daemon : m_daemons) {
        daemon->isCutOff = false;
    }
    const TimePoint ended = m_clock.now();
    first().replica.markSourceRecovered({began, ended});
    advance(Milliseconds(4000));
    for (const auto &daemon : m_daemons) {
        EXPECT_EQ(daemon->observer.recoveryCount, 1)
            << "a reader, too, may not have been the first to read the store again";
    }
    EXPECT_EQ(last().replica.lastOutage().ended, ended);
}

TEST_F(TopicExchangeTest, ReaderReadsTheStoreMeanwhile_NobodyTakesThePeersOutage)
{
    startAll();
    advance(Milliseconds(4000));
    first().isCutOff = true;
    const TimePoint began = first().replica.confirmedAt();
    advance(Milliseconds(3000));
    first().isCutOff = false;
    first().replica.markSourceRecovered({began, m_clock.now()});
    advance(Milliseconds(4000));
    EXPECT_EQ(second().observer.recoveryCount, 0);
    EXPECT_EQ(last().observer.recoveryCount, 0);
}

/// Guards against servers that have left and are kept by all gateways, since one reader of the
/// store had its connections reset.
TEST_F(TopicExchangeTest, PeerReportsOutageInWhichNothingCanLapse_IsIgnored)
{
    startAll();
    advance(Milliseconds(4000));
    // Readers read at the same moments, so that nobody has read between the two.
    const TimePoint began = first().replica.confirmedAt();
    first().replica.markSourceRecovered({began, began + Milliseconds(1300)});
    advance(Milliseconds(2000));
    EXPECT_EQ(second().observer.recoveryCount, 0);
    EXPECT_EQ(last().observer.recoveryCount, 0);
}

TEST_F(TopicExchangeTest, OnlyOnePeerWasCutOffFromStore_ItsRecoveryIsIgnored)
{
    startAll();
    advance(Milliseconds(4000));
    first().isCutOff = true;
    m_isDown[0] = true;
    const TimePoint began = first().replica.confirmedAt();
    advance(Milliseconds(4000));
    first().isCutOff = false;
    m_isDown[0] = false;
    first().replica.markSourceRecovered({began, m_clock.now()});
    advance(Milliseconds(2000));
    EXPECT_EQ(last().observer.recoveryCount, 0);
}

TEST_F(TopicExchangeTest, StoreRestoredFromCopy_FollowersTakeNewEraAndIgnorePeerOfOldOne)
{
    m_store.put("k", "2");
    m_store.put("k", "3");
    startAll();
    advance(Milliseconds(2000));
    EXPECT_EQ(last().observer.state, (State{{"k", "3"}}));
    // The third daemon hears nothing of the restored store, but others hear from it.
    m_daemons[2]->isCutOff = true;
    m_daemons[2]->network.dropsMessages = true;
    m_store.restore(1);
    m_store.put("k", "4");
    advance(Milliseconds(2000));
    EXPECT_EQ(last().observer.state, (State{{"k", "4"}}));
    EXPECT_EQ(last().replica.era(), m_store.era);
    EXPECT_LE(age(last()), MaxStaleness);
    m_daemons[2]->network.dropsMessages = false;
    advance(Milliseconds(2000));
    EXPECT_EQ(m_daemons[2]->observer.state, (State{{"k", "4"}}));
    m_store.put("k", "5");
    advance(Milliseconds(2000));
    for (const auto &daemon : m_daemons) {
        EXPECT_EQ(daemon->observer.state, (State{{"k", "5"}}));
    }
}

/// Guards against a server that has left and is used by a gateway that has started again.
TEST_F(TopicExchangeTest, DaemonStartsAfterALateReport_PeerTellsThatTheKeyWasDeleted)
{
    const auto readVersion = [](const std::string &value) {
        return protocol::RecordVersion{{}, framework::ReportNumber(std::stoull(value))};
    };
    for (const auto &daemon : m_daemons) {
        daemon->observer.readVersion = readVersion;
        daemon->observer.isRenewed = true;
    }
    m_store.put("k", "2");
    startAll();
    advance(Milliseconds(2000));
    m_store.records.push_back({LogOffset(m_store.records.size()), "k", std::nullopt});
    advance(ReadInterval + PingInterval);
    EXPECT_TRUE(last().observer.state.empty());
    m_store.put("k", "1");
    advance(ReadInterval + PingInterval);
    EXPECT_TRUE(last().observer.state.empty());
    // The last daemon starts again, and the store shows it the late report.
    Daemon fresh(m_order[3], m_scheduler, m_clock);
    fresh.observer.readVersion = readVersion;
    fresh.observer.isRenewed = true;
    fresh.directory.set(last().directory.ranking());
    const LogOffset end(m_store.records.size());
    fresh.replica.replace({m_store.records.back()}, end, m_clock.now(), m_store.era);
    ASSERT_EQ(fresh.observer.state, (State{{"k", "1"}}));
    fresh.network.links[m_order[0]] = &first().network;
    first().network.links[m_order[3]] = &fresh.network;
    fresh.exchange.start({});
    fresh.network.ping(m_order[0]);
    EXPECT_TRUE(fresh.observer.state.empty());
}
