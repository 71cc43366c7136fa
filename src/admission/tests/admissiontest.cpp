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
        m_last[item.key] = decision;
        return decision.verdict;
    }

    AdmissionVerdict offer(std::uint64_t number) { return offer(makeItem(number)); }

    std::vector<std::uint64_t> takeStarted()
    {
        std::vector<std::uint64_t> started;
        for (const AdmissionDecision &decision : m_controller->takeDecisions(m_now)) {
            m_last[decision.key] = decision;
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

    /// Reports a warm backend server and completes work one by one until the limit is that of a
    /// warm backend server.
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
    RefusalReason reasonOf(std::uint64_t number) const { return m_last.at(makeKey(number)).reason; }

    TimePoint m_now{1000};
    std::map<WorkKey, AdmissionDecision> m_last;
    std::uint64_t m_nextWarmUp = 1'000'000;
    std::unique_ptr<IAdmissionController> m_controller =
        AdmissionModule::makeController(Limits, AdmissionPolicy());
};

} // namespace

TEST_F(Admission, AtItsOwnStart_OnlyTheColdLimitRuns)
{
    startMany(1, Limits.coldConcurrency);
    EXPECT_EQ(offer(3), AdmissionVerdict::Wait);
    EXPECT_THAT(takeStarted(), testing::IsEmpty());
    EXPECT_TRUE(isCold());
}

TEST_F(Admission, LimitDoublesAfterEachFullBatchOfCompletions)
{
    std::vector<std::uint32_t> limits;
    for (std::uint64_t number = 1; number <= 2 + 4 + 8; ++number) {
        offer(number);
        complete(number);
        limits.push_back(limit());
    }
    EXPECT_THAT(limits, testing::ElementsAre(2, 4, 4, 4, 4, 8, 8, 8, 8, 8, 8, 8, 8, 16));
}

TEST_F(Admission, EachSignOfColdness_FallsToColdLimitFirst)
{
    struct Case
    {
        const char *name;
        std::function<void()> sign;
    };
    m_controller->observeHealth({Incarnation(1), true, false}, m_now);
    const std::vector<Case> cases = {
        {"new incarnation",
         [this] {
             m_controller->observeHealth({Incarnation(2), true, false}, m_now);
         }},
        {"reports cold",
         [this] {
             m_controller->observeHealth({Incarnation(2), true, true}, m_now);
             m_controller->observeHealth({Incarnation(2), true, false}, m_now);
         }},
        {"not ready for a moment",
         [this] {
             m_controller->observeHealth({Incarnation(2), false, false}, m_now);
             m_controller->observeHealth({Incarnation(2), true, false}, m_now);
         }},
        {"failures in a row",
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
    for (const Case &sign : cases) {
        SCOPED_TRACE(sign.name);
        warmUp();
        EXPECT_FALSE(isCold());
        sign.sign();
        EXPECT_EQ(limit(), Limits.coldConcurrency);
        EXPECT_TRUE(isCold());
    }
}

TEST_F(Admission, RunningItemsFromBeforeTheTurn_CountAgainstTheColdLimitAndProveNothing)
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

TEST_F(Admission, ReportedCold_LimitStaysWhateverCompletes)
{
    m_controller->observeHealth({Incarnation(1), true, true}, m_now);
    for (std::uint64_t number = 1; number <= 20; ++number) {
        offer(number);
        complete(number);
    }
    EXPECT_EQ(limit(), Limits.coldConcurrency);
}

TEST_F(Admission, TurnSeenInCompletions_LimitRisesOnlyAfterAReportThatItIsWarm)
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

TEST_F(Admission, RelapseIntoColdStart_DoublesTheWorkBeforeTheNextStep)
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

TEST_F(Admission, NotReady_RefusesWaitingAndNew)
{
    startMany(1, 2);
    ASSERT_EQ(offer(3), AdmissionVerdict::Wait);
    m_controller->observeHealth({Incarnation(1), false, false}, m_now);
    takeStarted();
    EXPECT_EQ(reasonOf(3), RefusalReason::Cold);
    EXPECT_EQ(offer(4), AdmissionVerdict::Refuse);
}

TEST_F(Admission, OneFailure_HalvesTheLimitOncePerBatch)
{
    warmUp();
    startMany(1, 4);
    complete(1, Completion::Failed);
    complete(2);
    complete(3, Completion::Failed);
    EXPECT_EQ(limit(), Limits.concurrency / 2);
}

TEST_F(Admission, EarlierDeadlineStartsFirst)
{
    startMany(1, 2);
    WorkItem late = makeItem(3);
    WorkItem early = makeItem(4);
    early.deadline = late.deadline - Milliseconds(1);
    offer(late);
    offer(early);
    complete(1);
    complete(2, Completion::Cancelled);
    EXPECT_THAT(takeStarted(), testing::ElementsAre(4, 3));
}

TEST_F(Admission, DeadlineThatCannotBeMet_IsRefusedAtOnce)
{
    warmUp();
    WorkItem item = makeItem(1);
    item.deadline = m_now + UsualTime - Milliseconds(1);
    EXPECT_EQ(offer(item), AdmissionVerdict::Refuse);
    EXPECT_EQ(reasonOf(1), RefusalReason::DeadlineUnreachable);
}

TEST_F(Admission, WaitingItem_IsRefusedWhenItCanNoLongerMakeItsDeadline)
{
    warmUp();
    startMany(1, 16);
    WorkItem item = makeItem(20);
    item.deadline = m_now + Milliseconds(150);
    ASSERT_EQ(offer(item), AdmissionVerdict::Wait);
    const TimePoint wake = m_controller->nextWake();
    EXPECT_EQ(wake, m_now + Milliseconds(51));
    m_now = wake;
    takeStarted();
    EXPECT_EQ(reasonOf(20), RefusalReason::DeadlineUnreachable);
    EXPECT_EQ(m_controller->nextWake(), TimePoint::never());
}

TEST_F(Admission, OutdatedEstimate_DoesNotRefuseForEver)
{
    warmUp();
    WorkItem item = makeItem(1);
    m_now = m_now + Milliseconds(10'000);
    item.deadline = m_now + UsualTime - Milliseconds(1);
    EXPECT_EQ(offer(item), AdmissionVerdict::Run);
}

TEST_F(Admission, SmallTeam_IsNotBehindTheQueueOfALargeOne)
{
    warmUp();
    startMany(1, 16);
    for (std::uint64_t number = 20; number < 36; ++number) {
        ASSERT_EQ(offer(number), AdmissionVerdict::Wait);
    }
    WorkItem small = makeItem(50);
    small.team = TeamId("t2");
    EXPECT_EQ(offer(small), AdmissionVerdict::Wait);
    takeStarted();
    EXPECT_EQ(reasonOf(35), RefusalReason::Full);
    complete(1);
    complete(2);
    EXPECT_THAT(takeStarted(), testing::UnorderedElementsAre(20, 50));
}

TEST_F(Admission, TeamsStartInProportionToTheirShares)
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
    const std::vector<std::uint64_t> started = takeStarted();
    EXPECT_EQ(started.size(), 8U);
    EXPECT_EQ(std::ranges::count_if(started, [](auto number) { return number % 2 == 0; }), 6);
}

TEST_F(Admission, PipelinesOfOneTeamTakeTurns)
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
    EXPECT_THAT(takeStarted(), testing::UnorderedElementsAre(20, 21, 30, 31));
}

TEST_F(Admission, Background_KeepsItsPartOfTheWaitingPlaces)
{
    warmUp();
    startMany(1, 16);
    for (std::uint64_t number = 20; number < 60; ++number) {
        WorkItem item = makeItem(number);
        item.priority = number < 36 ? PriorityClass::Background : PriorityClass::Interactive;
        offer(item);
    }
    takeStarted();
    const auto isWaiting = [](const auto &entry) {
        return entry.second.verdict == AdmissionVerdict::Wait;
    };
    EXPECT_EQ(std::ranges::count_if(m_last, isWaiting), Limits.queueLength);
    EXPECT_EQ(m_last.at(makeKey(23)).verdict, AdmissionVerdict::Wait);
    EXPECT_EQ(m_last.at(makeKey(24)).verdict, AdmissionVerdict::Refuse);
}

TEST_F(Admission, DoubledOffer_ChangesNothing)
{
    EXPECT_EQ(offer(1), AdmissionVerdict::Run);
    EXPECT_EQ(offer(1), AdmissionVerdict::Wait);
    EXPECT_THAT(takeStarted(), testing::IsEmpty());
    EXPECT_EQ(m_controller->load(m_now).running, 1U);
    EXPECT_EQ(m_controller->load(m_now).queued, 0U);
}

TEST_F(Admission, Interactive_TakesTheReservedPlace)
{
    warmUp();
    WorkItem call = makeItem(1);
    call.priority = PriorityClass::Interactive;
    offer(call);
    complete(1);
    startMany(2, 15);
    EXPECT_EQ(offer(30), AdmissionVerdict::Wait);
    EXPECT_THAT(takeStarted(), testing::IsEmpty());
    call.key = makeKey(31);
    EXPECT_EQ(offer(call), AdmissionVerdict::Run);
    complete(31);
    m_now = m_now + AdmissionPolicy().interactiveMemory + Milliseconds(1);
    EXPECT_THAT(takeStarted(), testing::ElementsAre(30));
}

TEST_F(Admission, MoreUrgentArrival_DisplacesAWaitingItemWhichIsRefusedAsNotRun)
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
    takeStarted();
    EXPECT_EQ(reasonOf(35), RefusalReason::Full);
    EXPECT_FALSE(m_controller->cancelWaiting(makeKey(35), m_now));
}

TEST_F(Admission, ClosedController_RefusesWaitingAndNewWithTheReasonUntilOpened)
{
    startMany(1, 2);
    offer(3);
    m_controller->close(RefusalReason::ZoneOut, m_now);
    takeStarted();
    EXPECT_EQ(reasonOf(3), RefusalReason::ZoneOut);
    EXPECT_EQ(offer(4), AdmissionVerdict::Refuse);
    EXPECT_EQ(reasonOf(4), RefusalReason::ZoneOut);
    EXPECT_EQ(m_controller->load(m_now).running, 2U);
    complete(1);
    m_controller->close(RefusalReason::None, m_now);
    EXPECT_EQ(offer(5), AdmissionVerdict::Run);
}

TEST_F(Admission, CancelledWaitingItem_NeverRuns)
{
    startMany(1, 2);
    offer(3);
    EXPECT_TRUE(m_controller->cancelWaiting(makeKey(3), m_now));
    EXPECT_FALSE(m_controller->cancelWaiting(makeKey(1), m_now));
    complete(1);
    EXPECT_THAT(takeStarted(), testing::IsEmpty());
}
