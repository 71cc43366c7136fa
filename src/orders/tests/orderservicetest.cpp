#include "framework/asyncerror.h"
#include "orders/tests/process.h"

#include <gtest/gtest.h>

#include <deque>
#include <optional>
#include <random>
#include <set>

using namespace lavendertally;
using namespace lavendertally::orders;

namespace {

using framework::Milliseconds;
using Outcome = std::optional<OrderError>;

const infrastructure::StreamName Stream{"orders.h1"};

OrderPolicy makePolicy(bool checksFencing)
{
    OrderPolicy policy;
    policy.leaseDuration = Milliseconds(10000);
    policy.orderTimeout = Milliseconds(2000);
    policy.logTimeout = Milliseconds(1000);
    policy.engineChecksFencing = checksFencing;
    return policy;
}

std::vector<std::string> holdersOf(const std::vector<ReceivedOrder> &orders)
{
    std::vector<std::string> holders;
    for (const ReceivedOrder &order : orders) {
        holders.push_back(order.holder);
    }
    return holders;
}

/// Several processes, one log, one engine.
struct World
{
    World(bool checksFencing, std::initializer_list<const char *> names)
        : m_engine(m_scheduler, checksFencing)
    {
        for (const char *name : names) {
            m_processes.push_back(std::make_unique<Process>(name, makePolicy(checksFencing),
                                                            m_clock, m_scheduler, m_log, m_engine));
        }
    }

    Process &process(std::size_t index) { return *m_processes[index]; }

    /// Begins an order; its outcome is known once it is in m_outcomes.
    std::size_t begin(std::size_t index)
    {
        const std::size_t id = m_outcomes.size();
        m_outcomes.emplace_back();
        process(index).service().order(
            {OrderKind::LoadModel, std::to_string(id)}, [this, id](framework::Result<void> result) {
                m_outcomes[id] = result
                    ? Outcome()
                    : Outcome(framework::errorOf(std::move(result), OrderError::Unknown));
                ++m_ended;
            });
        return id;
    }

    /// Gives an order and waits for its end.
    Outcome order(std::size_t index)
    {
        const std::size_t id = begin(index);
        const std::size_t ended = m_ended;
        for (int i = 0; i < 200 && m_ended == ended; ++i) {
            m_scheduler.advance(Milliseconds(1000));
        }
        EXPECT_GT(m_ended, ended);
        return m_outcomes[id];
    }

    framework::FakeClock m_clock;
    framework::FakeScheduler m_scheduler{m_clock};
    infrastructure::FakeLog m_log;
    FakeEngine m_engine;
    std::deque<Outcome> m_outcomes;
    std::size_t m_ended = 0;
    std::vector<std::unique_ptr<Process>> m_processes;
};

} // namespace

class OrderServiceTest : public testing::TestWithParam<bool>
{ };

INSTANTIATE_TEST_SUITE_P(Engines, OrderServiceTest, testing::Bool(),
                         [](const testing::TestParamInfo<bool> &info) {
                             return info.param ? "Checking" : "Ignoring";
                         });

TEST_P(OrderServiceTest, OrdersWithinOneLeaseNeedOneAppend)
{
    World world(GetParam(), {"a"});
    EXPECT_EQ(world.order(0), Outcome());
    EXPECT_EQ(world.order(0), Outcome());
    EXPECT_EQ(world.m_log.records(Stream).size(), 1U);
}

TEST_P(OrderServiceTest, HolderWhoseLeaseRanOutRenewsItBeforeAnOrder)
{
    World world(GetParam(), {"a"});
    world.order(0);
    world.m_scheduler.advance(Milliseconds(20000));
    EXPECT_EQ(world.order(0), Outcome());
    EXPECT_EQ(world.m_engine.applied().back().fencing, framework::FencingNumber(1));
}

TEST_P(OrderServiceTest, FrozenHolderThatWakesAfterItsLeaseGivesNoOrder)
{
    World world(GetParam(), {"a", "b"});
    world.order(0);
    world.process(0).freeze();
    const std::size_t late = world.begin(0);
    EXPECT_EQ(world.order(1), Outcome());
    world.m_scheduler.advance(Milliseconds(20000));
    world.process(0).thaw();
    world.m_scheduler.advance(Milliseconds(5000));
    EXPECT_EQ(world.m_outcomes[late], OrderError::LeaseLost);
    EXPECT_EQ(holdersOf(world.m_engine.applied()), (std::vector<std::string>{"a", "b"}));
    EXPECT_EQ(world.order(0), OrderError::LeaseLost);
    EXPECT_EQ(world.order(1), Outcome());
}

TEST(OrderServiceLimitsTest, CheckingEngine_HolderFrozenBetweenCheckAndSend_OrderIsRefused)
{
    World world(true, {"a", "b"});
    world.order(0);
    world.process(0).freezeBeforeSending();
    const std::size_t late = world.begin(0);
    EXPECT_EQ(world.order(1), Outcome());
    world.process(0).thaw();
    world.m_scheduler.advance(Milliseconds(5000));
    EXPECT_EQ(world.m_outcomes[late], OrderError::StaleFencing);
    EXPECT_EQ(holdersOf(world.m_engine.applied()), (std::vector<std::string>{"a", "b"}));
}

// What is not promised: nothing on our side can stop an order whose sender froze after its check.
TEST(OrderServiceLimitsTest, IgnoringEngine_HolderFrozenBetweenCheckAndSend_OrderIsApplied)
{
    World world(false, {"a", "b"});
    world.order(0);
    world.process(0).freezeBeforeSending();
    world.begin(0);
    EXPECT_EQ(world.order(1), Outcome());
    world.process(0).thaw();
    world.m_scheduler.advance(Milliseconds(5000));
    EXPECT_EQ(holdersOf(world.m_engine.applied()), (std::vector<std::string>{"a", "b", "a"}));
}

TEST(OrderServiceLimitsTest, IgnoringEngine_NewHolderWaitsOutTheOldLease)
{
    World world(false, {"a", "b"});
    world.order(0);
    const framework::TimePoint read = world.m_clock.now();
    world.begin(1);
    for (int i = 0; i < 2000 && world.m_engine.applied().size() < 2; ++i) {
        world.m_scheduler.advance(Milliseconds(10));
    }
    EXPECT_EQ(holdersOf(world.m_engine.applied()), (std::vector<std::string>{"a", "b"}));
    EXPECT_GE(world.m_clock.now() - read, Milliseconds(10100));
    EXPECT_LE(world.m_clock.now() - read, Milliseconds(10200));
}

TEST(OrderServiceLimitsTest, CheckingEngine_NewHolderNeedNotWait)
{
    World world(true, {"a", "b"});
    world.order(0);
    world.begin(1);
    world.m_scheduler.advance(Milliseconds(10));
    EXPECT_EQ(holdersOf(world.m_engine.applied()), (std::vector<std::string>{"a", "b"}));
}

TEST(OrderServiceLimitsTest, IgnoringEngine_ReleasedLeaseNeedsNoWaiting)
{
    World world(false, {"a", "b"});
    world.order(0);
    world.process(0).service().release();
    world.m_scheduler.advance(Milliseconds(10));
    world.begin(1);
    world.m_scheduler.advance(Milliseconds(10));
    EXPECT_EQ(holdersOf(world.m_engine.applied()), (std::vector<std::string>{"a", "b"}));
}

TEST_P(OrderServiceTest, OrderAfterAnUnknownOneCannotBeOvertakenByIt)
{
    World world(GetParam(), {"a"});
    world.order(0);
    world.m_engine.setNext(Milliseconds(1500), true);
    const std::size_t unknown = world.begin(0);
    world.m_scheduler.advance(Milliseconds(10));
    EXPECT_EQ(world.m_outcomes[unknown], OrderError::Unknown);
    EXPECT_EQ(world.order(0), Outcome());
    world.m_scheduler.advance(Milliseconds(5000));
    EXPECT_EQ(world.m_engine.applied().back().argument, "2");
}

TEST_P(OrderServiceTest, LogThatIsDownMakesAnOrderFailUnsent)
{
    World world(GetParam(), {"a"});
    world.process(0).log().setDown(true);
    EXPECT_EQ(world.order(0), OrderError::LogUnavailable);
    EXPECT_TRUE(world.m_engine.applied().empty());
    world.process(0).log().setDown(false);
    EXPECT_EQ(world.order(0), Outcome());
}

TEST_P(OrderServiceTest, LeaseIsTakenThoughItsAppendWasLostOrDoubled)
{
    using infrastructure::FakeLogFault;
    for (const FakeLogFault fault :
         {FakeLogFault::AnswerLost, FakeLogFault::Doubled, FakeLogFault::DoubledAnswerLost,
          FakeLogFault::MalformedAnswer}) {
        World world(GetParam(), {"a"});
        world.process(0).log().failAppends(fault);
        EXPECT_EQ(world.order(0), Outcome());
        EXPECT_EQ(world.m_engine.applied().front().fencing, framework::FencingNumber(0));
    }
}

TEST_P(OrderServiceTest, NewHolderThatCannotReadThePrefixWaitsForTheLongestLease)
{
    World world(GetParam(), {"a", "b"});
    world.order(0);
    world.m_log.append(Stream, {"{}"});
    world.m_log.expireUpTo(Stream, framework::LogOffset(2));
    world.begin(1);
    world.m_scheduler.advance(Milliseconds(59000));
    EXPECT_EQ(world.m_engine.applied().size(), GetParam() ? 2U : 1U);
    world.m_scheduler.advance(Milliseconds(5000));
    EXPECT_EQ(world.m_engine.applied().size(), 2U);
    EXPECT_EQ(world.order(0), OrderError::LeaseLost);
}

namespace {

constexpr int Schedules = 10000;
constexpr int StepsPerSchedule = 30;
/// Greatest seed that GoogleTest takes on its command line.
constexpr int MaxSeed = 99999;
constexpr int DefaultSeed = 4242;

/// Random orders, faults and freezes in a world of three processes.
class Schedule
{
public:
    Schedule(bool checksFencing, std::uint32_t seed)
        : m_random(seed), m_world(checksFencing, {"a", "b", "c"})
    {
        for (std::size_t i = 0; i < 3; ++i) {
            m_world.process(i).setClockRate(1000 - below(10));
        }
    }

    void step()
    {
        Process &process = m_world.process(below(3));
        switch (below(8)) {
        case 0:
        case 1:
        case 2:
            m_world.m_engine.setNext(Milliseconds(below(3000)), below(4) == 0);
            m_world.begin(&process == &m_world.process(0) ? 0 : 1 + below(2));
            break;
        case 3:
            process.freeze();
            break;
        case 4:
            process.thaw();
            break;
        case 5:
            process.log().failAppends(static_cast<infrastructure::FakeLogFault>(below(8)));
            break;
        case 6:
            process.log().setDelays(Milliseconds(below(1500)), Milliseconds(below(1500)));
            break;
        case 7:
            changeLog(process);
            break;
        }
        m_world.m_scheduler.advance(Milliseconds(below(below(4) == 0 ? 15000 : 1000)));
    }

    const std::vector<ReceivedOrder> &applied() const { return m_world.m_engine.applied(); }

private:
    int below(int bound) { return static_cast<int>(m_random() % bound); }

    void changeLog(Process &process)
    {
        switch (below(5)) {
        case 0:
            process.log().setDown(true);
            break;
        case 1:
            process.log().setDown(false);
            break;
        case 2:
            process.log().setLagging(below(2) == 0);
            break;
        case 3:
            process.service().release();
            break;
        case 4:
            if (below(10) == 0) {
                m_world.m_log.expireUpTo(Stream, m_world.m_log.end(Stream));
            }
            break;
        }
    }

    std::minstd_rand m_random;
    World m_world;
};

/// No older order after a newer one: fencing numbers never fall, and orders of one holder stay in
/// the sequence in which it gave them.
void expectNoOlderAfterNewer(const std::vector<ReceivedOrder> &applied)
{
    for (std::size_t i = 1; i < applied.size(); ++i) {
        ASSERT_LE(applied[i - 1].fencing, applied[i].fencing);
        if (applied[i - 1].holder == applied[i].holder) {
            ASSERT_LT(std::stoi(applied[i - 1].argument), std::stoi(applied[i].argument));
        }
    }
}

/// The orders of each holder stand together.
void expectHoldersNotMixed(const std::vector<ReceivedOrder> &applied)
{
    std::set<std::string> ended;
    for (std::size_t i = 1; i < applied.size(); ++i) {
        if (applied[i - 1].holder != applied[i].holder) {
            ended.insert(applied[i - 1].holder);
            ASSERT_FALSE(ended.contains(applied[i].holder)) << applied[i].holder;
        }
    }
}

} // namespace

TEST_P(OrderServiceTest, RandomSchedulesNeverApplyAnOlderOrderAfterANewerOne)
{
    const int givenSeed = GTEST_FLAG_GET(random_seed);
    const int firstSeed = givenSeed == 0 ? DefaultSeed : givenSeed;
    std::size_t applied = 0;
    std::size_t handovers = 0;
    for (int i = 0; i < Schedules; ++i) {
        const int seed = 1 + (firstSeed - 1 + i) % MaxSeed;
        SCOPED_TRACE("--gtest_random_seed=" + std::to_string(seed));
        Schedule schedule(GetParam(), static_cast<std::uint32_t>(seed));
        for (int step = 0; step < StepsPerSchedule; ++step) {
            schedule.step();
        }
        expectNoOlderAfterNewer(schedule.applied());
        expectHoldersNotMixed(schedule.applied());
        ASSERT_FALSE(HasFatalFailure());
        applied += schedule.applied().size();
        const auto holders = holdersOf(schedule.applied());
        handovers += std::set<std::string>(holders.begin(), holders.end()).size() > 1 ? 1 : 0;
    }
    // The schedules reach what they are meant to test.
    EXPECT_GT(applied, Schedules);
    EXPECT_GT(handovers, Schedules / 20);
    RecordProperty("applied", static_cast<int>(applied));
    RecordProperty("handovers", static_cast<int>(handovers));
    std::cout << applied << " orders applied, " << handovers << " schedules with a handover\n";
}
