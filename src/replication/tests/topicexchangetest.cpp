#include "replication/topicexchange.h"
#include "framework/frameworkmodule.h"
#include "framework/imetrics.h"
#include "framework/testing/fakeclock.h"
#include "framework/testing/fakescheduler.h"
#include "framework/testing/nulllogger.h"
#include "framework/types/endpoint.h"
#include "peers/ipeernetwork.h"
#include "replication/tests/recordingobserver.h"
#include "replication/topicreplica.h"

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

/// Links of one daemon that the test joins to those of others.
class JoinedNetwork final : public peers::IPeerNetwork
{
public:
    explicit JoinedNetwork(const char *self) : m_self(self) { }

    void addObserver(peers::IPeerObserver &observer) override { m_observer = &observer; }
    void setAcceptsJobs(std::function<bool()> /*accepts*/) override { }
    framework::Result<framework::Endpoint> listen(const framework::Endpoint &endpoint) override
    {
        return endpoint;
    }
    void connectTo(const std::vector<peers::DaemonAddress> & /*daemons*/) override { }
    void connectToSeeds(const std::vector<framework::Endpoint> &seeds) override
    {
        seedCount = seeds.size();
    }
    std::vector<DaemonId> linkedPeers() const override
    {
        std::vector<DaemonId> ids;
        for (const auto &[id, network] : links) {
            ids.push_back(id);
        }
        return ids;
    }
    bool isAccepting(const DaemonId & /*peer*/) const override { return true; }
    bool isSelfAccepting() const override { return true; }
    TimePoint startOf(const DaemonId & /*peer*/) const override { return {}; }
    void announce() override { }
    bool send(const DaemonId &peer, const protocol::PeerMessage &message) override
    {
        ++sent;
        if (holds) {
            held.emplace_back(peer, message);
            return true;
        }
        deliver(peer, message);
        return true;
    }
    void deliver(const DaemonId &peer, const protocol::PeerMessage &message)
    {
        links.at(peer)->m_observer->onMessage(m_self, message);
    }
    void lose(const DaemonId &peer) { m_observer->onLinkLost(peer); }

    std::map<DaemonId, JoinedNetwork *> links;
    std::size_t seedCount = 0;
    int sent = 0;
    bool holds = false;
    std::vector<std::pair<DaemonId, protocol::PeerMessage>> held;

private:
    DaemonId m_self;
    peers::IPeerObserver *m_observer = nullptr;
};

} // namespace

class TopicExchangeTest : public testing::Test
{
protected:
    static constexpr Milliseconds Patience{2000};

    struct Daemon
    {
        Daemon(const char *id, framework::IScheduler &scheduler, const framework::IClock &clock)
            : network(id), metrics(framework::FrameworkModule::makeMetrics()),
              exchange(network, scheduler, clock, logger, *metrics)
        {
            exchange.add(StateTopic::Operators, replica, Patience);
        }

        framework::NullLogger logger;
        JoinedNetwork network;
        std::unique_ptr<framework::IMetrics> metrics;
        RecordingObserver seen;
        TopicReplica replica{seen};
        TopicExchange exchange;
    };

    TopicExchangeTest()
        : m_scheduler(m_clock), m_a("a", m_scheduler, m_clock), m_b("b", m_scheduler, m_clock)
    {
        m_a.network.links[DaemonId("b")] = &m_b.network;
        m_b.network.links[DaemonId("a")] = &m_a.network;
        m_clock.set(TimePoint(100000));
    }

    /// What a read of the store gives at once.
    void readStore(Daemon &daemon, const char *value, std::uint64_t end)
    {
        daemon.replica.replace({{LogOffset(end - 1), "k", value}}, LogOffset(end), m_clock.now());
    }
    /// Lets time go by in which \p daemon reads the store and finds nothing new.
    void advance(Milliseconds time, Daemon *reader)
    {
        const TimePoint end = m_clock.now() + time;
        while (m_clock.now() < end) {
            m_scheduler.advance(Milliseconds(100));
            if (reader != nullptr) {
                reader->replica.append({}, reader->replica.next(), reader->replica.next(),
                                       m_clock.now());
            }
        }
    }
    Milliseconds age(const Daemon &daemon) const
    {
        return m_clock.now() - daemon.replica.confirmedAt();
    }

    framework::FakeClock m_clock;
    framework::FakeScheduler m_scheduler;
    Daemon m_a;
    Daemon m_b;
};

TEST_F(TopicExchangeTest, NobodyIsAskedWhileTheStoreIsRead)
{
    readStore(m_a, "1", 5);
    m_a.exchange.start({{"127.0.0.1", 1}});
    advance(Milliseconds(10000), &m_a);
    EXPECT_EQ(m_a.network.sent, 0);
    EXPECT_EQ(m_a.network.seedCount, 0U);
}

TEST_F(TopicExchangeTest, DaemonThatKnowsNothingLearnsFromASeed)
{
    readStore(m_b, "1", 5);
    m_a.exchange.start({{"127.0.0.1", 1}, {"127.0.0.1", 2}});
    advance(Milliseconds(400), &m_b);
    EXPECT_EQ(m_a.network.seedCount, 0U);
    advance(Milliseconds(1200), &m_b);
    EXPECT_EQ(m_a.seen.state, (State{{"k", "1"}}));
    EXPECT_EQ(m_a.network.seedCount, 0U) << "seeds are left once something is known";
}

TEST_F(TopicExchangeTest, DaemonCutFromTheStoreFollowsAPeer)
{
    readStore(m_a, "1", 5);
    readStore(m_b, "1", 5);
    m_a.exchange.start({});
    advance(Milliseconds(3000), &m_b);
    m_b.replica.append({{LogOffset(5), "k", "2"}}, LogOffset(5), LogOffset(6), m_clock.now());
    advance(Milliseconds(700), &m_b);
    EXPECT_EQ(m_a.seen.state, (State{{"k", "2"}}));
    EXPECT_LE(age(m_a), Milliseconds(1200));
    EXPECT_EQ(m_a.seen.returns, 1) << "entries that lapsed meanwhile may come back";
    advance(Milliseconds(20000), &m_b);
    EXPECT_LE(age(m_a), Milliseconds(1200));
    EXPECT_EQ(m_a.seen.returns, 1);
}

TEST_F(TopicExchangeTest, PeersAreLeftAloneWhenTheStoreIsBack)
{
    readStore(m_a, "1", 5);
    readStore(m_b, "1", 5);
    m_a.exchange.start({});
    advance(Milliseconds(5000), &m_b);
    advance(Milliseconds(1000), &m_a);
    const int before = m_a.network.sent;
    advance(Milliseconds(3000), &m_a);
    EXPECT_EQ(m_a.network.sent, before);
}

TEST_F(TopicExchangeTest, PeerThatIsCutTooMakesNothingNewer)
{
    readStore(m_a, "1", 5);
    readStore(m_b, "1", 5);
    const TimePoint last = m_clock.now();
    m_a.exchange.start({});
    m_b.exchange.start({});
    advance(Milliseconds(10000), nullptr);
    EXPECT_EQ(m_a.replica.confirmedAt(), last);
    EXPECT_EQ(m_b.replica.confirmedAt(), last);
}

TEST_F(TopicExchangeTest, TimeOnTheWayMakesTheStateOlder)
{
    readStore(m_a, "1", 5);
    m_a.exchange.start({});
    advance(Milliseconds(2600), nullptr);
    m_a.network.holds = true;
    readStore(m_b, "1", 5);
    m_a.network.held.clear();
    advance(Milliseconds(2000), &m_b);
    ASSERT_FALSE(m_a.network.held.empty());
    const TimePoint asked = m_clock.now();
    const auto [peer, query] = m_a.network.held.back();
    m_clock.advance(Milliseconds(1200));
    m_b.replica.append({}, LogOffset(5), LogOffset(5), m_clock.now());
    m_a.network.deliver(peer, query);
    EXPECT_LE(m_a.replica.confirmedAt(), asked);
}

TEST_F(TopicExchangeTest, AnotherPeerIsAskedWhenOneFallsSilent)
{
    Daemon silent("0", m_scheduler, m_clock);
    silent.network.links[DaemonId("a")] = &m_a.network;
    m_a.network.links[DaemonId("0")] = &silent.network;
    readStore(m_a, "1", 5);
    readStore(m_b, "2", 6);
    m_a.exchange.start({});
    advance(Milliseconds(6000), &m_b);
    EXPECT_EQ(m_a.seen.state, (State{{"k", "2"}}));
    EXPECT_LE(age(m_a), Milliseconds(3500));
}

TEST_F(TopicExchangeTest, QueryOnALostLinkIsAskedElsewhereAtOnce)
{
    readStore(m_a, "1", 5);
    m_a.exchange.start({});
    m_a.network.holds = true;
    advance(Milliseconds(2600), nullptr);
    ASSERT_EQ(m_a.network.sent, 1);
    m_a.network.lose(DaemonId("b"));
    advance(Milliseconds(500), nullptr);
    EXPECT_EQ(m_a.network.sent, 2);
}
