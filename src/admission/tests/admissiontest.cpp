#include "admission/admissionmodule.h"
#include "admission/iadmissioncontroller.h"
#include "admission/tests/workitems.h"
#include "admission/types/admissionpolicy.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <vector>

using namespace lavendertally::admission;
using namespace lavendertally::framework;
using lavendertally::configuration::PriorityClass;
using lavendertally::protocol::RefusalReason;

namespace {

constexpr Milliseconds UsualTime(100);

class Admission : public testing::Test
{
protected:
    static constexpr AdmissionLimits Limits{16, 2, 16};

    AdmissionVerdict offer(const WorkItem &item)
    {
        const AdmissionDecision decision = m_controller->offer(item, m_now);
        m_lastDecisions[item.key] = decision;
        return decision.verdict;
    }

    AdmissionVerdict offer(std::uint64_t number) { return offer(makeItem(number)); }

    /// Takes all due decisions.
    /// \return numbers of the items that were started
    std::vector<std::uint64_t> takeStartedItems()
    {
        std::vector<std::uint64_t> started;
        for (const AdmissionDecision &decision : m_controller->takeDecisions(m_now)) {
            m_lastDecisions[decision.key] = decision;
            if (decision.verdict == AdmissionVerdict::Run) {
                started.push_back(decision.key.attempt.value());
            }
        }
        return started;
    }

    void complete(std::uint64_t number, Completion completion = Completion::Succeeded,
                  Milliseconds serviceTime = UsualTime)
    {
        m_controller->complete(makeKey(number), completion, serviceTime, m_now);
    }

    /// Reports a warm backend server and completes items one by one until the full concurrency
    /// limit is reached.
    void warmUp()
    {
        const Incarnation known = m_controller->load(m_now).incarnation;
        m_controller->observeHealth({known, true, false}, m_now);
        for (int call = 0; call < 1000 && limit() < Limits.concurrency; ++call) {
            ASSERT_EQ(offer(m_nextWarmUp), AdmissionVerdict::Run);
            complete(m_nextWarmUp++);
        }
    }

    void startMany(std::uint64_t first, std::uint64_t count)
    {
        for (std::uint64_t number = first; number < first + count; ++number) {
            ASSERT_EQ(offer(number), AdmissionVerdict::Run);
        }
    }

    std::uint32_t limit() const { return m_controller->load(m_now).limit; }
    bool isCold() const { return m_controller->load(m_now).cold; }
    RefusalReason reasonOf(std::uint64_t number) const
    {
        return m_lastDecisions.at(makeKey(number)).reason;
    }

    TimePoint m_now{1000};
    std::map<WorkKey, AdmissionDecision> m_lastDecisions;
    std::uint64_t m_nextWarmUp = 1'000'000;
    std::unique_ptr<IAdmissionController> m_controller =
        AdmissionModule::makeController(Limits, AdmissionPolicy());
};

} // namespace

TEST_F(Admission, Startup_RunsNoMoreThanTheColdLimit)
{
    startMany(1, Limits.coldConcurrency);
    EXPECT_EQ(offer(3), AdmissionVerdict::Wait);
    EXPECT_THAT(takeStartedItems(), testing::IsEmpty());
    EXPECT_TRUE(isCold());
}

TEST_F(Admission, FullBatchSucceeded_LimitDoubles)
{
    std::vector<std::uint32_t> limits;
    for (std::uint64_t number = 1; number <= 2 + 4 + 8; ++number) {
        offer(number);
        complete(number);
        limits.push_back(limit());
    }
    EXPECT_THAT(limits, testing::ElementsAre(2, 4, 4, 4, 4, 8, 8, 8, 8, 8, 8, 8, 8, 16));
}

TEST_F(Admission, ColdStartDetected_LimitDropsToTheColdLimit)
{
    struct Case
    {
        const char *name;
        std::function<void()> trigger;
    };
    m_controller->observeHealth({Incarnation(1), true, false}, m_now);
    const std::vector<Case> cases = {
        {"new incarnation",
         [this] {
             m_controller->observeHealth({Incarnation(2), true, false}, m_now);
         }},
        {"cold start reported",
         [this] {
             m_controller->observeHealth({Incarnation(2), true, true}, m_now);
             m_controller->observeHealth({Incarnation(2), true, false}, m_now);
         }},
        {"briefly not ready",
         [this] {
             m_controller->observeHealth({Incarnation(2), false, false}, m_now);
             m_controller->observeHealth({Incarnation(2), true, false}, m_now);
         }},
        {"consecutive failures",
         [this] {
             startMany(1, 2);
             complete(1, Completion::Failed);
             complete(2, Completion::Failed);
         }},
        {"jump in service time",
         [this] {
             startMany(3, 2);
             complete(3, Completion::Succeeded, UsualTime * 10);
             complete(4, Completion::Succeeded, UsualTime * 10);
         }},
    };
    for (const Case &testCase : cases) {
        SCOPED_TRACE(testCase.name);
        warmUp();
        EXPECT_FALSE(isCold());
        testCase.trigger();
        EXPECT_EQ(limit(), Limits.coldConcurrency);
        EXPECT_TRUE(isCold());
    }
}

TEST_F(Admission, ItemsStartedBeforeColdStart_OccupyTheColdLimitAndDoNotRaiseIt)
{
    warmUp();
    startMany(1, 8);
    m_controller->observeHealth({Incarnation(9), true, false}, m_now);
    EXPECT_NE(offer(20), AdmissionVerdict::Run);
    for (std::uint64_t number = 1; number <= 8; ++number) {
        complete(number);
    }
    EXPECT_EQ(limit(), Limits.coldConcurrency);
    EXPECT_TRUE(isCold());
}

TEST_F(Admission, ColdReported_CompletionsDoNotRaiseTheLimit)
{
    m_controller->observeHealth({Incarnation(1), true, true}, m_now);
    for (std::uint64_t number = 1; number <= 20; ++number) {
        offer(number);
        complete(number);
    }
    EXPECT_EQ(limit(), Limits.coldConcurrency);
}

TEST_F(Admission, ColdStartDetectedByFailures_LimitRisesOnlyAfterAWarmReport)
{
    warmUp();
    startMany(1, 2);
    complete(1, Completion::Failed);
    complete(2, Completion::Failed);
    for (std::uint64_t number = 3; number <= 20; ++number) {
        offer(number);
        complete(number);
    }
    EXPECT_EQ(limit(), Limits.coldConcurrency);
    warmUp();
    EXPECT_EQ(limit(), Limits.concurrency);
}

TEST_F(Admission, ColdAgainBeforeTheFullLimit_BatchesBeforeTheNextIncreaseDouble)
{
    for (std::uint64_t number = 1; number <= 2; ++number) {
        offer(number);
        complete(number);
    }
    ASSERT_EQ(limit(), 4U);
    startMany(3, 2);
    complete(3, Completion::Failed);
    complete(4, Completion::Failed);
    std::uint32_t completions = 0;
    while (limit() == Limits.coldConcurrency && completions < 100) {
        offer(100 + completions);
        complete(100 + completions);
        ++completions;
    }
    EXPECT_EQ(completions, Limits.coldConcurrency * 2);
}

TEST_F(Admission, BackendServerNotReady_WaitingAndNewItemsAreRefused)
{
    startMany(1, 2);
    ASSERT_EQ(offer(3), AdmissionVerdict::Wait);
    m_controller->observeHealth({Incarnation(1), false, false}, m_now);
    takeStartedItems();
    EXPECT_EQ(reasonOf(3), RefusalReason::Cold);
    EXPECT_EQ(offer(4), AdmissionVerdict::Refuse);
}

TEST_F(Admission, FailuresInOneBatch_HalveTheLimitOnce)
{
    warmUp();
    startMany(1, 4);
    complete(1, Completion::Failed);
    complete(2);
    complete(3, Completion::Failed);
    EXPECT_EQ(limit(), Limits.concurrency / 2);
}

TEST_F(Admission, TwoItemsWaiting_EarlierDeadlineStartsFirst)
{
    startMany(1, 2);
    WorkItem late = makeItem(3);
    WorkItem early = makeItem(4);
    early.deadline = late.deadline - Milliseconds(1);
    offer(late);
    offer(early);
    complete(1);
    complete(2, Completion::Cancelled);
    EXPECT_THAT(takeStartedItems(), testing::ElementsAre(4, 3));
}

TEST_F(Admission, DeadlineUnreachable_ItemIsRefusedOnArrival)
{
    warmUp();
    WorkItem item = makeItem(1);
    item.deadline = m_now + UsualTime - Milliseconds(1);
    EXPECT_EQ(offer(item), AdmissionVerdict::Refuse);
    EXPECT_EQ(reasonOf(1), RefusalReason::DeadlineUnreachable);
}

TEST_F(Admission, LatestStartPassed_WaitingItemIsRefused)
{
    warmUp();
    startMany(1, 16);
    WorkItem item = makeItem(20);
    item.deadline = m_now + Milliseconds(150);
    ASSERT_EQ(offer(item), AdmissionVerdict::Wait);
    const TimePoint wake = m_controller->nextWake();
    EXPECT_EQ(wake, m_now + Milliseconds(51));
    m_now = wake;
    takeStartedItems();
    EXPECT_EQ(reasonOf(20), RefusalReason::DeadlineUnreachable);
    EXPECT_EQ(m_controller->nextWake(), TimePoint::never());
}

TEST_F(Admission, ServiceTimeEstimateOutdated_ItemIsAdmitted)
{
    warmUp();
    WorkItem item = makeItem(1);
    m_now = m_now + Milliseconds(10'000);
    item.deadline = m_now + UsualTime - Milliseconds(1);
    EXPECT_EQ(offer(item), AdmissionVerdict::Run);
}

TEST_F(Admission, LargeTeamFillsTheQueue_SmallTeamStillStarts)
{
    warmUp();
    startMany(1, 16);
    for (std::uint64_t number = 20; number < 36; ++number) {
        ASSERT_EQ(offer(number), AdmissionVerdict::Wait);
    }
    WorkItem small = makeItem(50);
    small.team = TeamId("t2");
    EXPECT_EQ(offer(small), AdmissionVerdict::Wait);
    takeStartedItems();
    EXPECT_EQ(reasonOf(35), RefusalReason::Full);
    complete(1);
    complete(2);
    EXPECT_THAT(takeStartedItems(), testing::UnorderedElementsAre(20, 50));
}

TEST_F(Admission, TeamsWithUnequalShares_StartInProportion)
{
    warmUp();
    startMany(1, 16);
    for (std::uint64_t number = 20; number < 36; ++number) {
        WorkItem item = makeItem(number);
        item.team = TeamId(number % 2 == 0 ? "even" : "odd");
        item.share = number % 2 == 0 ? 3 : 1;
        ASSERT_EQ(offer(item), AdmissionVerdict::Wait);
    }
    for (std::uint64_t number = 1; number <= 8; ++number) {
        complete(number);
    }
    const std::vector<std::uint64_t> started = takeStartedItems();
    EXPECT_EQ(started.size(), 8U);
    EXPECT_EQ(std::ranges::count_if(started, [](auto number) { return number % 2 == 0; }), 6);
}

TEST_F(Admission, TwoPipelinesOfOneTeam_StartEquallyOften)
{
    warmUp();
    startMany(1, 16);
    for (std::uint64_t number = 20; number < 36; ++number) {
        WorkItem item = makeItem(number);
        item.pipeline = PipelineId(number < 30 ? "crowded" : "other");
        ASSERT_EQ(offer(item), AdmissionVerdict::Wait);
    }
    for (std::uint64_t number = 1; number <= 4; ++number) {
        complete(number);
    }
    EXPECT_THAT(takeStartedItems(), testing::UnorderedElementsAre(20, 21, 30, 31));
}

TEST_F(Admission, InteractiveBurst_BackgroundKeepsItsPartOfTheQueue)
{
    warmUp();
    startMany(1, 16);
    for (std::uint64_t number = 20; number < 60; ++number) {
        WorkItem item = makeItem(number);
        item.priority = number < 36 ? PriorityClass::Background : PriorityClass::Interactive;
        offer(item);
    }
    takeStartedItems();
    const auto isWaiting = [](const auto &entry) {
        return entry.second.verdict == AdmissionVerdict::Wait;
    };
    EXPECT_EQ(std::ranges::count_if(m_lastDecisions, isWaiting), Limits.queueLength);
    EXPECT_EQ(m_lastDecisions.at(makeKey(23)).verdict, AdmissionVerdict::Wait);
    EXPECT_EQ(m_lastDecisions.at(makeKey(24)).verdict, AdmissionVerdict::Refuse);
}

TEST_F(Admission, DuplicateOffer_ChangesNothing)
{
    EXPECT_EQ(offer(1), AdmissionVerdict::Run);
    EXPECT_EQ(offer(1), AdmissionVerdict::Wait);
    EXPECT_THAT(takeStartedItems(), testing::IsEmpty());
    EXPECT_EQ(m_controller->load(m_now).running, 1U);
    EXPECT_EQ(m_controller->load(m_now).queued, 0U);
}

TEST_F(Admission, ReservedSlot_GoesToInteractiveUntilTheReserveTimesOut)
{
    warmUp();
    WorkItem call = makeItem(1);
    call.priority = PriorityClass::Interactive;
    offer(call);
    complete(1);
    startMany(2, 15);
    EXPECT_EQ(offer(30), AdmissionVerdict::Wait);
    EXPECT_THAT(takeStartedItems(), testing::IsEmpty());
    call.key = makeKey(31);
    EXPECT_EQ(offer(call), AdmissionVerdict::Run);
    complete(31);
    m_now = m_now + AdmissionPolicy().interactiveReserveTimeout + Milliseconds(1);
    EXPECT_THAT(takeStartedItems(), testing::ElementsAre(30));
}

TEST_F(Admission, QueueFull_MoreUrgentArrivalEvictsAWaitingItemAsNotRun)
{
    warmUp();
    startMany(1, 16);
    for (std::uint64_t number = 20; number < 36; ++number) {
        ASSERT_EQ(offer(number), AdmissionVerdict::Wait);
    }
    EXPECT_EQ(offer(40), AdmissionVerdict::Refuse);
    EXPECT_EQ(reasonOf(40), RefusalReason::Full);
    WorkItem call = makeItem(41);
    call.priority = PriorityClass::Interactive;
    EXPECT_EQ(offer(call), AdmissionVerdict::Wait);
    EXPECT_EQ(m_controller->nextWake(), TimePoint());
    takeStartedItems();
    EXPECT_EQ(reasonOf(35), RefusalReason::Full);
    EXPECT_FALSE(m_controller->cancelWaiting(makeKey(35), m_now));
}

TEST_F(Admission, ControllerClosed_WaitingAndNewItemsAreRefusedWithTheReasonUntilReopened)
{
    startMany(1, 2);
    offer(3);
    m_controller->close(RefusalReason::ZoneOut, m_now);
    takeStartedItems();
    EXPECT_EQ(reasonOf(3), RefusalReason::ZoneOut);
    EXPECT_EQ(offer(4), AdmissionVerdict::Refuse);
    EXPECT_EQ(reasonOf(4), RefusalReason::ZoneOut);
    EXPECT_EQ(m_controller->load(m_now).running, 2U);
    complete(1);
    m_controller->close(RefusalReason::None, m_now);
    EXPECT_EQ(offer(5), AdmissionVerdict::Run);
}

TEST_F(Admission, WaitingItemCancelled_NeverRuns)
{
    startMany(1, 2);
    offer(3);
    EXPECT_TRUE(m_controller->cancelWaiting(makeKey(3), m_now));
    EXPECT_FALSE(m_controller->cancelWaiting(makeKey(1), m_now));
    complete(1);
    EXPECT_THAT(takeStartedItems(), testing::IsEmpty());
}

TEST_F(Admission, ServerNamesRateLimit_StartsKeepToItAndWakeInTime)
{
    warmUp();
    m_controller->observeRateLimit(RequestRate(2000), m_now, m_now);
    std::size_t started = 0;
    for (std::uint64_t number = 1; number <= 12; ++number) {
        started += offer(number) == AdmissionVerdict::Run ? 1 : 0;
    }
    EXPECT_EQ(started, 1U);
    const TimePoint end = m_now + Milliseconds(4000);
    while (m_controller->nextWake() <= end) {
        ASSERT_GT(m_controller->nextWake(), m_now) << "would wake without a pause";
        m_now = m_controller->nextWake();
        started += takeStartedItems().size();
    }
    EXPECT_EQ(started, 9U);
}

TEST_F(Admission, RateLimitMakesDeadlineUnreachable_ItemIsRefusedAtOnce)
{
    warmUp();
    m_controller->observeRateLimit(RequestRate(500), m_now, m_now);
    EXPECT_EQ(offer(1), AdmissionVerdict::Run);
    WorkItem item = makeItem(2);
    item.deadline = m_now + Milliseconds(1500);
    EXPECT_EQ(offer(item), AdmissionVerdict::Refuse);
    EXPECT_EQ(reasonOf(2), RefusalReason::DeadlineUnreachable);
}

TEST_F(Admission, RateLimitEnds_WaitingItemsStart)
{
    warmUp();
    m_controller->observeRateLimit(RequestRate(500), m_now, m_now);
    startMany(1, 1);
    EXPECT_EQ(offer(2), AdmissionVerdict::Wait);
    m_controller->observeRateLimit(std::nullopt, m_now, m_now + Milliseconds(10));
    EXPECT_THAT(takeStartedItems(), testing::IsEmpty()) << "answer to an earlier request";
    m_now = m_now + Milliseconds(20);
    m_controller->observeRateLimit(std::nullopt, m_now, m_now);
    EXPECT_THAT(takeStartedItems(), testing::ElementsAre(2U));
}
