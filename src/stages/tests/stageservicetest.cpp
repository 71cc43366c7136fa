#include "framework/frameworkmodule.h"
#include "framework/imetrics.h"
#include "framework/testing/fakeclock.h"
#include "framework/testing/fakescheduler.h"
#include "framework/testing/nulllogger.h"
#include "peers/idaemondirectory.h"
#include "peers/ipeernetwork.h"
#include "peers/ipeerobserver.h"
#include "stages/istagecallport.h"
#include "stages/istageservice.h"
#include "stages/tests/stagefixture.h"
#include "stages/types/stagecalloutcome.h"

#include <algorithm>

using namespace lavendertally;
using namespace lavendertally::stages;
using framework::DaemonId;
using framework::Milliseconds;
using framework::TimePoint;

namespace {

const DaemonId selfId("self");
const DaemonId otherId("other");

/// Records sent messages; the test sets the state of the other daemon.
class RecordingNetwork final : public peers::IPeerNetwork
{
public:
    void addObserver(peers::IPeerObserver &observer) override { m_observer = &observer; }
    void setAcceptsJobs(std::function<bool()> /*accepts*/) override { }
    void setDigests(std::function<std::vector<protocol::TopicDigest>()> /*digests*/) override { }
    void
    setCrashFingerprint(std::function<protocol::EvidenceFingerprint()> /*fingerprint*/) override
    { }
    std::vector<DaemonId> crashReportTakers() const override { return {}; }
    void setTakesRateLimits() override { }
    void setTakesConnectionLeases() override { }
    std::vector<framework::DaemonId> connectionLeaseTakers() const override { return {}; }
    std::vector<DaemonId> rateLimitTakers() const override { return {}; }
    void setTakesRollouts() override { }
    std::vector<DaemonId> rolloutTakers() const override { return {}; }
    framework::Result<framework::Endpoint> listen(const framework::Endpoint &endpoint) override
    {
        return endpoint;
    }
    void connectTo(const std::vector<peers::DaemonAddress> & /*ranking*/) override { }
    void connectToSeeds(const std::vector<framework::Endpoint> & /*seeds*/) override { }
    std::vector<DaemonId> linkedPeers() const override { return {}; }
    bool isAccepting(const DaemonId & /*peer*/) const override { return otherAccepts; }
    bool isInStartupGrace(const DaemonId & /*peer*/) const override
    {
        return otherIsInStartupGrace;
    }
    void setIsInformed(std::function<bool(const DaemonId &)> /*isInformed*/) override { }
    bool isUnreachable(const DaemonId & /*peer*/) const override { return false; }
    bool isSelfAccepting() const override { return true; }
    TimePoint startTimeOf(const DaemonId & /*peer*/) const override { return {}; }
    void announce() override { }
    bool send(const DaemonId & /*peer*/, const protocol::PeerMessage &message) override
    {
        sent.push_back(message);
        return true;
    }
    void receive(const protocol::PeerMessage &message) { m_observer->onMessage(otherId, message); }

    template <typename Message>
    std::size_t count() const
    {
        return static_cast<std::size_t>(
            std::count_if(sent.begin(), sent.end(), [](const protocol::PeerMessage &message) {
                return std::holds_alternative<Message>(message);
            }));
    }

    bool otherAccepts = false;
    bool otherIsInStartupGrace = false;
    std::vector<protocol::PeerMessage> sent;

private:
    peers::IPeerObserver *m_observer = nullptr;
};

class TwoDaemonDirectory final : public peers::IDaemonDirectory
{
public:
    const std::vector<peers::DaemonAddress> &ranking() const override { return m_ranking; }
    std::size_t limitSharerCount() const override { return m_ranking.size(); }
    void onChange(std::function<void()> /*callback*/) override { }

private:
    std::vector<peers::DaemonAddress> m_ranking = {{otherId, {}}, {selfId, {}}};
};

/// Counts calls and never answers them.
class UnansweredCallPort final : public IStageCallPort
{
public:
    void startCall(const StartStageCall & /*call*/,
                   std::function<void(StageCallOutcome)> /*done*/) override
    {
        ++calls;
    }
    void freeResults(
        const std::vector<framework::StageResultId> & /*results*/,
        std::function<void(const std::vector<framework::StageResultId> &)> /*done*/) override
    { }
    void queryFreeStorage(const membership::BackendServerEntry & /*server*/,
                          std::function<void(framework::Bytes)> /*done*/) override
    { }

    int calls = 0;
};

} // namespace

/// One of two daemons; the other one precedes it in the ranking.
class StageServiceTest : public StageFixture
{
protected:
    StageServiceTest() : m_scheduler(m_clock), m_metrics(framework::FrameworkModule::makeMetrics())
    {
        m_clock.set(Start);
        addServer("a", "first");
        m_service =
            StagesModule::makeService(selfId, *m_coordinator, m_port, m_network, m_directory,
                                      m_scheduler, m_clock, m_logger, *m_metrics);
    }
    void startJob(const char *request)
    {
        m_service->start(job(request, 1), [](const protocol::StageJobOutcome & /*outcome*/) {});
    }
    void advance(std::int64_t milliseconds) { m_scheduler.advance(Milliseconds(milliseconds)); }

    framework::NullLogger m_logger;
    framework::FakeClock m_clock;
    framework::FakeScheduler m_scheduler;
    std::unique_ptr<framework::IMetrics> m_metrics;
    RecordingNetwork m_network;
    TwoDaemonDirectory m_directory;
    UnansweredCallPort m_port;
    std::unique_ptr<IStageService> m_service;
};

TEST_F(StageServiceTest, FirstDaemonBecomesUnusable_JobRunsOnNextOne)
{
    m_network.otherAccepts = true;
    startJob("r1");
    EXPECT_EQ(m_network.count<protocol::StageJob>(), 1U);
    m_network.otherAccepts = false;
    startJob("r2");
    EXPECT_EQ(m_network.count<protocol::StageJob>(), 1U);
    EXPECT_EQ(m_port.calls, 1);
}

TEST_F(StageServiceTest, FirstDaemonInStartupGrace_JobWaitsUntilItIsUsable)
{
    m_network.otherIsInStartupGrace = true;
    startJob("r1");
    advance(200);
    EXPECT_TRUE(m_network.sent.empty());
    EXPECT_EQ(m_port.calls, 0);
    m_network.otherIsInStartupGrace = false;
    m_network.otherAccepts = true;
    advance(100);
    ASSERT_EQ(m_network.count<protocol::StageJob>(), 1U);
    EXPECT_LE(std::get<protocol::StageJob>(m_network.sent[0]).objectiveLeft, Milliseconds(1800));
}

TEST_F(StageServiceTest, FirstDaemonInStartupGraceForTooLong_JobRunsOnNextOne)
{
    m_network.otherIsInStartupGrace = true;
    startJob("r1");
    advance(700);
    EXPECT_EQ(m_port.calls, 1);
}

TEST_F(StageServiceTest, CoordinatorReceivesHoldings_ReportsItsOwnOnce)
{
    startJob("r1");
    m_network.receive(protocol::StageHoldings{});
    advance(3000);
    EXPECT_EQ(m_network.count<protocol::StageHoldings>(), 1U);
}

TEST_F(StageServiceTest, OtherDaemonThanCoordinatorReceivesHoldings_SendsNoReport)
{
    m_network.otherAccepts = true;
    startJob("r1");
    m_network.receive(protocol::StageHoldings{});
    advance(3000);
    EXPECT_EQ(m_network.count<protocol::StageHoldings>(), 0U);
}

TEST_F(StageServiceTest, FormerCoordinatorHasJobsLeft_ReportsItsHoldingsRepeatedly)
{
    startJob("r1");
    ASSERT_EQ(m_port.calls, 1);
    m_network.otherAccepts = true;
    startJob("r2");
    EXPECT_EQ(m_network.count<protocol::StageJob>(), 1U);
    advance(1000);
    ASSERT_GE(m_network.count<protocol::StageHoldings>(), 9U);
    const auto &report = std::get<protocol::StageHoldings>(m_network.sent.back());
    ASSERT_EQ(report.holdings.size(), 1U);
    EXPECT_EQ(report.holdings[0].calls, 1U);
}
