#include "framework/frameworkmodule.h"
#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "framework/testing/nulllogger.h"
#include "http/tests/rawsocket.h"
#include "http/tests/scriptedserver.h"
#include "peers/ipeernetwork.h"
#include "peers/ipeerobserver.h"
#include "peers/peersmodule.h"
#include "protocol/iframereader.h"
#include "protocol/ipeermessagecodec.h"
#include "protocol/protocolmodule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <vector>

using namespace lavendertally;
using namespace lavendertally::peers;

namespace {

constexpr framework::Milliseconds WaitLimit{10000};
constexpr framework::Milliseconds PollInterval{5};

class RecordingObserver final : public IPeerObserver
{
public:
    void onMessage(const framework::DaemonId &peer, const protocol::PeerMessage &message) override
    {
        m_messages.emplace_back(peer, message);
    }
    void onDigests(const framework::DaemonId &peer,
                   const std::vector<protocol::TopicDigest> &digests,
                   std::optional<framework::TimePoint> pingSent) override
    {
        for (const protocol::TopicDigest &digest : digests) {
            m_digests.push_back({peer, digest, pingSent});
        }
    }
    void onCrashFingerprint(const framework::DaemonId &peer,
                            protocol::EvidenceFingerprint fingerprint) override
    {
        m_fingerprints.emplace_back(peer, fingerprint);
    }
    void onOutboundLinkLost(const framework::DaemonId &peer) override { m_lost.push_back(peer); }
    void onInboundLinkClosed(const framework::DaemonId &peer) override
    {
        m_inboundClosed.push_back(peer);
    }

    std::vector<std::pair<framework::DaemonId, protocol::PeerMessage>> m_messages;
    struct Digest
    {
        framework::DaemonId peer;
        protocol::TopicDigest digest;
        std::optional<framework::TimePoint> pingSent;
    };
    std::vector<Digest> m_digests;
    std::vector<std::pair<framework::DaemonId, protocol::EvidenceFingerprint>> m_fingerprints;
    std::vector<framework::DaemonId> m_lost;
    std::vector<framework::DaemonId> m_inboundClosed;
};

} // namespace

class PeerNetworkTest : public testing::Test
{
protected:
    PeerNetworkTest()
        : m_loop(framework::FrameworkModule::makeEventLoop()),
          m_clock(framework::FrameworkModule::makeSystemClock()), m_a(make("a", m_observerA)),
          m_b(make("b", m_observerB))
    {
        m_endpointB = m_b->listen({"127.0.0.1", 0}).value();
        EXPECT_TRUE(m_a->listen({"127.0.0.1", 0}));
    }

    std::unique_ptr<IPeerNetwork> make(const char *id, RecordingObserver &observer)
    {
        auto network =
            PeersModule::makeNetwork(*m_loop, *m_clock, m_logger, framework::DaemonId(id));
        network->addObserver(observer);
        network->setAcceptsJobs([this] { return m_accepts; });
        return network;
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
    bool connect(const framework::Endpoint &endpoint)
    {
        m_a->connectTo({{B, endpoint}});
        return waitFor([this] { return m_a->isAccepting(B); });
    }

    const framework::DaemonId A{"a"};
    const framework::DaemonId B{"b"};
    framework::NullLogger m_logger;
    std::unique_ptr<framework::IEventLoop> m_loop;
    std::unique_ptr<framework::IClock> m_clock;
    RecordingObserver m_observerA;
    RecordingObserver m_observerB;
    bool m_accepts = true;
    std::unique_ptr<IPeerNetwork> m_a;
    std::unique_ptr<IPeerNetwork> m_b;
    framework::Endpoint m_endpointB;
};

TEST_F(PeerNetworkTest, LinkEstablished_MessagesAreDeliveredBothWays)
{
    ASSERT_TRUE(connect(m_endpointB));
    EXPECT_FALSE(m_b->isAccepting(A));
    ASSERT_TRUE(m_a->send(B, protocol::StageJobCancel{framework::RequestId("r1")}));
    ASSERT_TRUE(waitFor([this] { return m_observerB.m_messages.size() == 1; }));
    EXPECT_EQ(m_observerB.m_messages[0].first, A);
    ASSERT_TRUE(m_b->send(A, protocol::StageJobCancel{framework::RequestId("r2")}));
    ASSERT_TRUE(waitFor([this] { return m_observerA.m_messages.size() == 1; }));
    EXPECT_EQ(m_observerA.m_messages[0].first, B);
}

TEST_F(PeerNetworkTest, PeerStopsTakingJobs_IsNotAcceptingUntilItResumes)
{
    ASSERT_TRUE(connect(m_endpointB));
    m_accepts = false;
    EXPECT_TRUE(waitFor([this] { return !m_a->isAccepting(B); }));
    m_accepts = true;
    EXPECT_TRUE(waitFor([this] { return m_a->isAccepting(B); }));
}

TEST_F(PeerNetworkTest, EitherSideGoes_OtherSideIsNotified)
{
    ASSERT_TRUE(connect(m_endpointB));
    m_b.reset();
    ASSERT_TRUE(waitFor([this] { return !m_observerA.m_lost.empty(); }));
    EXPECT_FALSE(m_a->send(B, protocol::PeerPing{}));
    m_b = make("b", m_observerB);
    ASSERT_TRUE(m_b->listen(m_endpointB));
    ASSERT_TRUE(waitFor([this] { return m_a->isAccepting(B); }));
    m_a.reset();
    EXPECT_TRUE(waitFor([this] { return !m_observerB.m_inboundClosed.empty(); }));
}

TEST_F(PeerNetworkTest, PeerSilentOnOpenConnection_LinkIsReopened)
{
    http::ScriptedServer silent(*m_loop, [](auto & /*connection*/) {});
    m_a->connectTo({{B, silent.endpoint()}});
    ASSERT_TRUE(waitFor([&] { return silent.connections() >= 2; }));
    EXPECT_FALSE(m_a->isAccepting(B));
}

TEST_F(PeerNetworkTest, MalformedMessageReceived_OnlyThatLinkIsClosed)
{
    ASSERT_TRUE(connect(m_endpointB));
    http::ScriptedServer noise(*m_loop, [](auto &connection) {
        http::ScriptedServer::send(connection, std::string("\x00\x00\x00\x02\xff\xff", 6));
    });
    m_a->connectTo({{B, m_endpointB}, {framework::DaemonId("c"), noise.endpoint()}});
    ASSERT_TRUE(waitFor([&] { return noise.connections() >= 2; }));
    EXPECT_TRUE(m_a->isAccepting(B));
}

TEST_F(PeerNetworkTest, PongReceived_DigestsAreDeliveredWithPingTime)
{
    const protocol::TopicDigest digest{protocol::StateTopic::Daemons,
                                       framework::LogOffset(4),
                                       framework::LogOffset(6),
                                       framework::Milliseconds(30),
                                       std::nullopt,
                                       framework::Milliseconds(0)};
    m_b->setDigests([digest] { return std::vector<protocol::TopicDigest>{digest}; });
    const framework::TimePoint before = m_clock->now();
    ASSERT_TRUE(connect(m_endpointB));
    ASSERT_FALSE(m_observerA.m_digests.empty());
    EXPECT_EQ(m_observerA.m_digests[0].peer, B);
    EXPECT_EQ(m_observerA.m_digests[0].digest, digest);
    ASSERT_TRUE(m_observerA.m_digests[0].pingSent);
    EXPECT_GE(*m_observerA.m_digests[0].pingSent, before);
    EXPECT_LE(*m_observerA.m_digests[0].pingSent, m_clock->now());
    m_b->announce();
    EXPECT_TRUE(waitFor([this] { return !m_observerA.m_digests.back().pingSent; }));
}

TEST_F(PeerNetworkTest, DaemonsTakeCrashReports_EachKnowsThatOfTheOther)
{
    using protocol::EvidenceFingerprint;
    constexpr EvidenceFingerprint Fingerprint(7);
    constexpr EvidenceFingerprint Later(8);
    EvidenceFingerprint current = Fingerprint;
    m_a->setCrashFingerprint([] { return protocol::EvidenceFingerprint(); });
    m_b->setCrashFingerprint([&current] { return current; });
    ASSERT_TRUE(connect(m_endpointB));
    ASSERT_FALSE(m_observerA.m_fingerprints.empty());
    EXPECT_EQ(m_observerA.m_fingerprints[0], std::pair(B, Fingerprint));
    EXPECT_EQ(m_a->crashReportTakers(), std::vector{B});
    EXPECT_EQ(m_b->crashReportTakers(), std::vector{A});
    const protocol::PeerMessage report = protocol::CrashReport{{}, true};
    ASSERT_TRUE(m_b->send(A, report));
    ASSERT_TRUE(waitFor([this] { return !m_observerA.m_messages.empty(); }));
    EXPECT_EQ(m_observerA.m_messages[0], std::pair(B, report));

    ASSERT_TRUE(waitFor([this] { return m_observerA.m_fingerprints.size() >= 3; }));
    EXPECT_EQ(m_observerA.m_fingerprints[2].second, Fingerprint);
    current = Later;
    EXPECT_TRUE(waitFor([&] { return m_observerA.m_fingerprints.back().second == Later; }));
    m_b.reset();
    ASSERT_TRUE(waitFor([this] { return !m_observerA.m_lost.empty(); }));
    EXPECT_TRUE(m_a->crashReportTakers().empty());
    m_b = make("b", m_observerB);
    ASSERT_TRUE(m_b->listen(m_endpointB));
    ASSERT_TRUE(waitFor([this] { return !m_a->linkedPeers().empty(); }));
    EXPECT_TRUE(m_a->crashReportTakers().empty()) << "an older version runs there now";
}

TEST_F(PeerNetworkTest, OneDaemonTakesNoCrashReports_NoneAreSentToIt)
{
    m_a->setCrashFingerprint([] { return protocol::EvidenceFingerprint(); });
    ASSERT_TRUE(connect(m_endpointB));
    EXPECT_TRUE(m_observerA.m_fingerprints.empty());
    EXPECT_TRUE(m_a->crashReportTakers().empty());
    EXPECT_EQ(m_b->crashReportTakers(), std::vector{A});
}

TEST_F(PeerNetworkTest, SeedIsAlsoInRanking_BothLinksCoexist)
{
    ASSERT_TRUE(connect(m_endpointB));
    m_a->connectToSeeds({m_endpointB});
    ASSERT_TRUE(waitFor([this] { return m_a->linkedPeers().size() == 2; }));
    const framework::DaemonId seed(m_endpointB.toString());
    ASSERT_TRUE(m_a->send(seed, protocol::StageJobCancel{framework::RequestId("r1")}));
    ASSERT_TRUE(waitFor([this] { return m_observerB.m_messages.size() == 1; }));
    EXPECT_TRUE(m_b->send(m_observerB.m_messages[0].first,
                          protocol::StageJobCancel{framework::RequestId("r2")}));
    ASSERT_TRUE(waitFor([this] { return m_observerA.m_messages.size() == 1; }));
    EXPECT_EQ(m_observerA.m_messages[0].first, seed);
    m_a->connectToSeeds({});
    EXPECT_EQ(m_a->linkedPeers().size(), 1U);
    EXPECT_TRUE(m_a->isAccepting(B));
    EXPECT_TRUE(m_observerB.m_inboundClosed.empty() || m_observerB.m_inboundClosed.front() != A);
}

TEST_F(PeerNetworkTest, LeadingDaemonsStopTakingJobs_NextInRankingIsLinked)
{
    std::vector<RecordingObserver> observers(3);
    std::vector<std::unique_ptr<IPeerNetwork>> leaders;
    std::vector<DaemonAddress> ranking;
    bool leadersTakeJobs = true;
    for (const char *name : {"x", "y", "z"}) {
        leaders.push_back(make(name, observers[leaders.size()]));
        leaders.back()->setAcceptsJobs([&leadersTakeJobs] { return leadersTakeJobs; });
        ranking.push_back(
            {framework::DaemonId(name), leaders.back()->listen({"127.0.0.1", 0}).value()});
    }
    ranking.push_back({B, m_endpointB});
    m_a->connectTo(ranking);
    ASSERT_TRUE(waitFor([&] {
        return std::all_of(ranking.begin(), ranking.end() - 1,
                           [this](const auto &each) { return m_a->isAccepting(each.daemon); });
    }));
    EXPECT_FALSE(m_a->isAccepting(B));
    leadersTakeJobs = false;
    for (const auto &leader : leaders) {
        leader->announce();
    }
    ASSERT_TRUE(waitFor([this] { return m_a->isAccepting(B); }));
    leadersTakeJobs = true;
    ASSERT_TRUE(waitFor([&] { return m_a->isAccepting(ranking.front().daemon); }));
    EXPECT_TRUE(m_a->isAccepting(B)) << "jobs that it coordinates are not cut off";
    EXPECT_TRUE(waitFor([this] { return !m_a->isAccepting(B); }));
}

TEST_F(PeerNetworkTest, LinkedPeersAreNotInformed_NextInRankingIsLinked)
{
    std::vector<RecordingObserver> observers(3);
    std::vector<std::unique_ptr<IPeerNetwork>> leaders;
    std::vector<DaemonAddress> ranking;
    for (const char *name : {"x", "y", "z"}) {
        leaders.push_back(make(name, observers[leaders.size()]));
        ranking.push_back(
            {framework::DaemonId(name), leaders.back()->listen({"127.0.0.1", 0}).value()});
    }
    ranking.push_back({B, m_endpointB});
    bool areLeadersInformed = true;
    m_a->setIsInformed(
        [&](const framework::DaemonId &peer) { return peer == B || areLeadersInformed; });
    m_a->connectTo(ranking);
    ASSERT_TRUE(waitFor([&] { return m_a->linkedPeers().size() == leaders.size(); }));
    EXPECT_FALSE(m_a->isAccepting(B));
    areLeadersInformed = false;
    EXPECT_TRUE(waitFor([this] { return m_a->isAccepting(B); }));
}

TEST_F(PeerNetworkTest, FirstDaemonsUnreachable_NextInRankingIsLinked)
{
    // Nothing listens on port 1.
    std::vector<DaemonAddress> ranking;
    for (const char *unreachable : {"x", "y", "z"}) {
        ranking.push_back({framework::DaemonId(unreachable), {"127.0.0.1", 1}});
    }
    ranking.push_back({B, m_endpointB});
    m_a->connectTo(ranking);
    EXPECT_TRUE(m_a->isInStartupGrace(framework::DaemonId("x")))
        << "the peer may still be starting";
    EXPECT_FALSE(m_a->isInStartupGrace(B))
        << "no link may be added before the first three prove unreachable";
    EXPECT_TRUE(waitFor([this] { return m_a->isAccepting(B); }));
    EXPECT_FALSE(m_a->isInStartupGrace(framework::DaemonId("x")));
}

// Guards against messages that pile up in memory for a peer that does not read them.
TEST_F(PeerNetworkTest, PeerDoesNotRead_LinkIsClosedWithinABoundOfBytes)
{
    const framework::DaemonId slow("slow");
    const auto codec = protocol::ProtocolModule::makePeerCodec();
    http::RawSocket peer(m_endpointB);
    peer.send(
        protocol::IFrameReader::frame(codec->encode(protocol::PeerHello{slow, false, false})));
    ASSERT_TRUE(waitFor(
        [&] { return m_b->send(slow, protocol::StageJobCancel{framework::RequestId("r")}); }));
    const protocol::StageJobCancel large{framework::RequestId(std::string(100 * 1024, 'r'))};
    constexpr int Messages = 200;
    for (int each = 0; each < Messages; ++each) {
        m_b->send(slow, large);
    }
    constexpr framework::Milliseconds SoonerThanIdle{2000};
    const framework::TimePoint begin = m_clock->now();
    ASSERT_TRUE(waitFor([&] { return !m_observerB.m_inboundClosed.empty(); }));
    EXPECT_EQ(m_observerB.m_inboundClosed.front(), slow);
    EXPECT_LT(m_clock->now() - begin, SoonerThanIdle);
}

// Guards against connections that say nothing and use up the descriptors.
TEST_F(PeerNetworkTest, ManyLinksWithoutAName_OldestIsClosedAndPeersAreServed)
{
    ASSERT_TRUE(connect(m_endpointB));
    std::vector<std::unique_ptr<http::RawSocket>> silent;
    for (std::size_t number = 0; number <= PeerLimits().maxUnnamedLinks; ++number) {
        silent.push_back(std::make_unique<http::RawSocket>(m_endpointB));
    }
    EXPECT_TRUE(waitFor([&] { return silent.front()->isClosed(); }));
    EXPECT_FALSE(silent.back()->isClosed());
    EXPECT_TRUE(m_a->isAccepting(B));
}

// Guards against a connection that sends without end before it says its name.
TEST_F(PeerNetworkTest, LongFrameBeforeTheHello_LinkIsClosed)
{
    http::RawSocket unnamed(m_endpointB);
    std::string frame("\x00\xff\xff\xff", 4);
    unnamed.send(frame + std::string(100000, 'x'));
    EXPECT_TRUE(waitFor([&] { return unnamed.isClosed() || unnamed.isReset(); }));
}
