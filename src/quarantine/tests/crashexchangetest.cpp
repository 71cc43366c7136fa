#include "framework/frameworkmodule.h"
#include "framework/imetrics.h"
#include "framework/testing/fakeclock.h"
#include "framework/testing/fakescheduler.h"
#include "framework/testing/nulllogger.h"
#include "peers/leadingdaemons.h"
#include "peers/testing/fakepeernetwork.h"
#include "protocol/ipeermessagecodec.h"
#include "protocol/protocolmodule.h"
#include "quarantine/icrashevidencestore.h"
#include "quarantine/ipromptquarantine.h"
#include "quarantine/quarantinemodule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace lavendertally;
using namespace lavendertally::quarantine;
using framework::CrashId;
using framework::DaemonId;
using framework::Milliseconds;
using framework::PromptPartId;
using framework::TimePoint;

namespace {

constexpr Milliseconds Step{10};
constexpr Milliseconds PingInterval{200};
/// Time within which all daemons must know what one has seen.
constexpr Milliseconds SpreadTime{3000};
/// What a daemon may spend on control, in bytes a second.
constexpr std::size_t ControlBudget = 7000;

struct Daemon
{
    Daemon(DaemonId name, framework::IScheduler &scheduler, const framework::IClock &clock)
        : id(name), network(std::move(name), clock), m_scheduler(scheduler), m_clock(clock)
    {
        network.onSend = [this](const protocol::PeerMessage &message) {
            sentBytes += codec->encode(message).size();
            const auto &report = std::get<protocol::CrashReport>(message);
            completeReports += report.isComplete ? 1 : 0;
            greatestReport = std::max(greatestReport, report.evidence.size());
        };
    }
    /// Starts the daemon, or starts it again without what it knew.
    void start(const QuarantineLimits &limits = {})
    {
        exchange.reset();
        quarantine = QuarantineModule::makeQuarantine(logger, *metrics, limits);
        exchange = QuarantineModule::makeCrashExchange(id, quarantine->evidenceStore(), network,
                                                       m_scheduler, m_clock, logger, *metrics);
    }
    PartStanding standing(PromptPartId part) const
    {
        return quarantine->assess({part}, m_clock.now()).standing;
    }
    std::size_t known() const { return quarantine->evidenceStore().evidence(m_clock.now()).size(); }
    std::uint64_t fingerprint() const
    {
        return quarantine->evidenceStore().fingerprint(m_clock.now());
    }

    DaemonId id;
    framework::NullLogger logger;
    std::unique_ptr<framework::IMetrics> metrics = framework::FrameworkModule::makeMetrics();
    std::unique_ptr<protocol::IPeerMessageCodec> codec = protocol::ProtocolModule::makePeerCodec();
    peers::FakePeerNetwork network;
    std::unique_ptr<IPromptQuarantine> quarantine;
    std::unique_ptr<peers::IPeerObserver> exchange;
    std::size_t sentBytes = 0;
    std::size_t completeReports = 0;
    std::size_t greatestReport = 0;

private:
    framework::IScheduler &m_scheduler;
    const framework::IClock &m_clock;
};

} // namespace

/// Five daemons, each with links to the first three.
class CrashExchangeTest : public testing::Test
{
protected:
    static constexpr std::size_t Leader = 0;
    static constexpr std::size_t Follower = 3;
    static constexpr std::size_t OtherFollower = 4;
    static constexpr PromptPartId Part{7};

    CrashExchangeTest() : m_scheduler(m_clock)
    {
        m_clock.set(TimePoint(1000000));
        addDaemons(5);
        for (std::size_t each = 0; each < m_daemons.size(); ++each) {
            link(each);
        }
        advance(SpreadTime);
    }
    void addDaemons(std::size_t count)
    {
        for (std::size_t each = 0; each < count; ++each) {
            const std::string name = "g" + std::to_string(m_daemons.size());
            m_daemons.push_back(std::make_unique<Daemon>(DaemonId(name), m_scheduler, m_clock));
            m_daemons.back()->start();
        }
    }
    Daemon &at(std::size_t index) { return *m_daemons[index]; }

    /// Opens the links of a daemon to the leading ones.
    void link(std::size_t index)
    {
        Daemon &daemon = at(index);
        for (std::size_t leader = 0; leader < peers::LeadingDaemons; ++leader) {
            if (leader != index) {
                daemon.network.outbound.push_back(at(leader).id);
                daemon.network.links[at(leader).id] = &at(leader).network;
                at(leader).network.links[daemon.id] = &daemon.network;
            }
        }
    }
    /// Cuts all links of a daemon that does not lead.
    void cut(std::size_t index)
    {
        Daemon &daemon = at(index);
        for (const DaemonId &leader : std::exchange(daemon.network.outbound, {})) {
            daemon.network.links.at(leader)->links.erase(daemon.id);
            daemon.network.links.erase(leader);
            daemon.network.loseLink(leader);
        }
    }
    void advance(Milliseconds time)
    {
        const TimePoint end = m_clock.now() + time;
        while (m_clock.now() < end) {
            m_scheduler.advance(Step);
            m_sincePing = m_sincePing + Step;
            if (m_sincePing < PingInterval) {
                continue;
            }
            m_sincePing = Milliseconds(0);
            for (const auto &daemon : m_daemons) {
                for (const DaemonId &leader : daemon->network.outbound) {
                    daemon->network.pingForFingerprint(leader);
                }
            }
        }
    }
    /// An attempt with \p parts is lost in a crash at a daemon.
    void crash(std::size_t index, const IPromptQuarantine::Parts &parts)
    {
        const TimePoint sent = m_clock.now();
        advance(Step);
        at(index).quarantine->serverCrashed(parts, CrashId(++m_lastCrash), sent, m_clock.now());
    }
    bool doAllKnow(std::size_t entries) const
    {
        return std::all_of(m_daemons.begin(), m_daemons.end(), [&](const auto &daemon) {
            return daemon->known() == entries
                && daemon->fingerprint() == m_daemons.front()->fingerprint();
        });
    }
    std::size_t sentBytes() const
    {
        std::size_t sum = 0;
        for (const auto &daemon : m_daemons) {
            sum += daemon->sentBytes;
        }
        return sum;
    }

    framework::FakeClock m_clock;
    framework::FakeScheduler m_scheduler;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    Milliseconds m_sincePing{0};
    std::uint64_t m_lastCrash = 0;
};

TEST_F(CrashExchangeTest, CrashSeenByOneFollower_TheOtherKnowsAtOnce)
{
    crash(Follower, {Part});
    crash(Follower, {Part});
    advance(PingInterval);
    EXPECT_TRUE(doAllKnow(2));
    EXPECT_EQ(at(OtherFollower).standing(Part), PartStanding::Blamed);
}

TEST_F(CrashExchangeTest, CrashesOfOnePartAtDifferentDaemons_PartIsBlamedByAll)
{
    crash(Follower, {Part});
    advance(PingInterval);
    crash(OtherFollower, {Part});
    advance(PingInterval);
    for (const auto &daemon : m_daemons) {
        EXPECT_EQ(daemon->standing(Part), PartStanding::Blamed);
    }
}

TEST_F(CrashExchangeTest, AnswerAtOneDaemon_ClearsThePartAtAll)
{
    crash(Follower, {Part});
    advance(PingInterval);
    EXPECT_EQ(at(Leader).standing(Part), PartStanding::Suspected);
    at(OtherFollower).quarantine->answerBegan({Part}, m_clock.now());
    advance(PingInterval);
    for (const auto &daemon : m_daemons) {
        EXPECT_EQ(daemon->standing(Part), PartStanding::Clear);
    }
}

TEST_F(CrashExchangeTest, AllKnow_NothingMoreIsSent)
{
    crash(Follower, {Part});
    advance(SpreadTime);
    EXPECT_GT(sentBytes(), 0U);
    const std::size_t before = sentBytes();
    advance(QuarantineLimits().evidenceTime + Milliseconds(60000));
    EXPECT_EQ(sentBytes(), before) << "also after the evidence has expired";
    EXPECT_TRUE(doAllKnow(0));
}

TEST_F(CrashExchangeTest, DaemonThatToldRestarts_LearnsItFromTheOthers)
{
    crash(Follower, {Part});
    crash(Follower, {Part});
    advance(PingInterval);
    at(Follower).start();
    EXPECT_EQ(at(Follower).known(), 0U);
    advance(SpreadTime);
    EXPECT_TRUE(doAllKnow(2));
    EXPECT_EQ(at(Follower).standing(Part), PartStanding::Blamed);
}

TEST_F(CrashExchangeTest, LeadingDaemonRestarts_LearnsAndDoesNotRepeatWhatAllKnow)
{
    for (int each = 0; each < 40; ++each) {
        crash(Follower, {PromptPartId(static_cast<std::uint64_t>(each))});
    }
    advance(SpreadTime);
    ASSERT_TRUE(doAllKnow(40));
    const std::size_t before = at(Leader).sentBytes;
    at(Leader).start();
    advance(SpreadTime);
    EXPECT_TRUE(doAllKnow(40));
    EXPECT_LT(at(Leader).sentBytes - before, 200U);
}

TEST_F(CrashExchangeTest, AllLeadingDaemonsRestart_FollowersTellThem)
{
    crash(Follower, {Part});
    advance(PingInterval);
    for (std::size_t leader = 0; leader < peers::LeadingDaemons; ++leader) {
        at(leader).start();
    }
    advance(SpreadTime);
    EXPECT_TRUE(doAllKnow(1));
}

TEST_F(CrashExchangeTest, LinksLostAndBack_BothSidesLearnWhatTheyMissed)
{
    cut(OtherFollower);
    crash(Follower, {Part});
    crash(OtherFollower, {PromptPartId(8)});
    advance(SpreadTime);
    EXPECT_EQ(at(OtherFollower).known(), 1U);
    EXPECT_EQ(at(Follower).known(), 1U);
    link(OtherFollower);
    advance(SpreadTime);
    EXPECT_TRUE(doAllKnow(2));
}

TEST_F(CrashExchangeTest, MessagesLost_ComparisonFindsWhatIsMissing)
{
    at(Follower).network.dropsMessages = true;
    crash(Follower, {Part});
    advance(PingInterval);
    at(Follower).network.dropsMessages = false;
    EXPECT_EQ(at(Leader).known(), 0U);
    advance(SpreadTime - PingInterval);
    EXPECT_TRUE(doAllKnow(1));
}

TEST_F(CrashExchangeTest, DaemonsDifferForEver_LittleIsSent)
{
    QuarantineLimits lasting;
    lasting.suspicionTime = Milliseconds(3600000);
    lasting.evidenceTime = lasting.suspicionTime;
    for (const auto &daemon : m_daemons) {
        daemon->start(lasting);
    }
    QuarantineLimits small = lasting;
    small.maxEvidence = 20;
    at(Follower).start(small);
    advance(SpreadTime);
    for (int each = 0; each < 200; ++each) {
        crash(OtherFollower, {PromptPartId(static_cast<std::uint64_t>(each))});
    }
    advance(Milliseconds(20000));
    EXPECT_EQ(at(Leader).known(), 200U);
    EXPECT_EQ(at(Follower).known(), small.maxEvidence);
    const std::size_t before = sentBytes();
    const std::size_t reportsBefore = at(Follower).completeReports;
    constexpr std::size_t Seconds = 600;
    advance(Milliseconds(Seconds * 1000));
    EXPECT_LE(sentBytes() - before, Seconds * 500);
    const CrashExchangeLimits limits;
    const std::size_t reportsToOne =
        Seconds * 1000 / static_cast<std::size_t>(limits.maxCompletePause.value()) + 2;
    EXPECT_LE(at(Follower).completeReports - reportsBefore, peers::LeadingDaemons * reportsToOne);
}

TEST_F(CrashExchangeTest, MoreCrashesThanFitIntoAReport_ReportsStayBounded)
{
    const QuarantineLimits limits;
    const std::size_t before = at(Follower).sentBytes;
    constexpr std::size_t Crashes = 400;
    for (std::size_t each = 0; each < Crashes; ++each) {
        const auto first = static_cast<std::uint64_t>(each * 2);
        at(Follower).quarantine->serverCrashed({PromptPartId(first), PromptPartId(first + 1)},
                                               CrashId(each + 1), m_clock.now() - Step,
                                               m_clock.now());
    }
    advance(SpreadTime);
    EXPECT_TRUE(doAllKnow(limits.maxEvidence));
    constexpr std::size_t Seconds = 10;
    advance(Milliseconds(Seconds * 1000) - SpreadTime);
    for (const auto &daemon : m_daemons) {
        EXPECT_LE(daemon->greatestReport, protocol::MaxReportedEvidence);
    }
    EXPECT_LE(at(Follower).sentBytes - before, Seconds * ControlBudget);
}

TEST_F(CrashExchangeTest, CrashesGoOn_FollowerKeepsTheControlBudget)
{
    const std::size_t before = at(Follower).sentBytes;
    constexpr std::size_t Seconds = 60;
    for (std::size_t each = 0; each < Seconds * 10; ++each) {
        const auto first = static_cast<std::uint64_t>(each * 10);
        crash(Follower,
              {PromptPartId(first), PromptPartId(first + 1), PromptPartId(first + 2),
               PromptPartId(first + 3), PromptPartId(first + 4)});
        advance(Milliseconds(100) - Step);
    }
    EXPECT_LE(at(Follower).sentBytes - before, Seconds * ControlBudget);
    crash(Follower, {PromptPartId(1000000)});
    advance(SpreadTime);
    EXPECT_EQ(at(OtherFollower).standing(PromptPartId(1000000)), PartStanding::Suspected);
}

TEST_F(CrashExchangeTest, LeadingDaemonPassesNothingOn_ComparisonWithTheOthersFindsIt)
{
    for (std::size_t leader = 0; leader < peers::LeadingDaemons; ++leader) {
        at(leader).network.dropsMessages = true;
        crash(Follower, {Part});
        advance(SpreadTime);
        at(leader).network.dropsMessages = false;
        EXPECT_TRUE(doAllKnow(leader + 1));
    }
}

TEST_F(CrashExchangeTest, LargestDeployment_AllKnowAtOnceAndOneCrashCostsLittle)
{
    constexpr std::size_t Daemons = 320;
    const std::size_t before = m_daemons.size();
    addDaemons(Daemons - before);
    for (std::size_t each = before; each < Daemons; ++each) {
        link(each);
    }
    advance(SpreadTime);
    IPromptQuarantine::Parts parts(10);
    for (std::size_t each = 0; each < parts.size(); ++each) {
        parts[each] = PromptPartId(each);
    }
    crash(Daemons - 1, parts);
    advance(PingInterval);
    EXPECT_TRUE(doAllKnow(parts.size()));
    advance(SpreadTime);
    EXPECT_EQ(at(Daemons - 2).sentBytes, 0U);
    EXPECT_LE(at(Daemons - 1).sentBytes, ControlBudget / 10);
    constexpr std::size_t LeadingSeconds = 2;
    for (std::size_t leader = 0; leader < peers::LeadingDaemons; ++leader) {
        EXPECT_LE(at(leader).sentBytes, LeadingSeconds * ControlBudget);
    }
}
