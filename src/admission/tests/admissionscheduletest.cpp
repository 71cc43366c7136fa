#include "admission/admissionmodule.h"
#include "admission/iadmissioncontroller.h"
#include "admission/tests/workitems.h"
#include "admission/types/admissionpolicy.h"
#include "framework/frameworkmodule.h"
#include "framework/irandom.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>

using namespace lavendertally::admission;
using namespace lavendertally::framework;
using lavendertally::configuration::PriorityClass;
using lavendertally::protocol::RefusalReason;

namespace {

/// Applies random events to a controller and checks each decision against a model of the items.
class RandomSchedule
{
public:
    explicit RandomSchedule(std::uint64_t seed)
        : m_random(FrameworkModule::makeRandom(seed)), m_limits(randomLimits()),
          m_controller(AdmissionModule::makeController(m_limits, m_policy))
    { }

    void run(int steps)
    {
        for (int step = 0; step < steps && !testing::Test::HasFailure(); ++step) {
            SCOPED_TRACE("step " + std::to_string(step));
            takeStep();
            applyDecisions();
            checkInvariants();
        }
        m_controller->close(RefusalReason::Leaving, m_now);
        applyDecisions();
        for (const auto &[key, item] : m_items) {
            EXPECT_NE(item.state, State::Waiting) << "not decided after close";
        }
    }

private:
    enum class State
    {
        Waiting,
        Running,
        Ended,
    };
    struct Item
    {
        WorkItem work;
        State state = State::Waiting;
    };

    std::uint64_t below(std::uint64_t bound) { return m_random->below(bound); }

    AdmissionLimits randomLimits()
    {
        const auto concurrency = static_cast<std::uint32_t>(1 + below(16));
        return {concurrency, static_cast<std::uint32_t>(1 + below(concurrency)),
                static_cast<std::uint32_t>(below(12))};
    }

    void takeStep()
    {
        switch (below(16)) {
        case 0:
            m_controller->observeHealth({Incarnation(below(3)), below(4) != 0, below(4) == 0},
                                        m_now);
            break;
        case 1:
            cancelOne();
            break;
        case 2:
            m_limits = randomLimits();
            m_controller->setLimits(m_limits, m_now);
            break;
        case 3:
            m_controller->close(below(3) == 0 ? RefusalReason::ZoneOut : RefusalReason::None,
                                m_now);
            break;
        case 4:
        case 5:
            m_now = m_now + Milliseconds(static_cast<std::int64_t>(below(300)));
            break;
        case 6:
        case 7:
        case 8:
        case 9:
            completeOne();
            break;
        default:
            offerOne();
        }
    }

    void offerOne()
    {
        WorkItem work = makeItem(++m_lastNumber);
        work.team = TeamId("t" + std::to_string(below(4)));
        work.pipeline = PipelineId("p" + std::to_string(below(2)));
        work.priority = static_cast<PriorityClass>(below(3));
        work.share = static_cast<std::uint32_t>(1 + below(3));
        work.deadline = m_now + Milliseconds(static_cast<std::int64_t>(below(2000)));
        m_items[work.key] = {work, State::Waiting};
        const AdmissionDecision decision = m_controller->offer(work, m_now);
        EXPECT_EQ(decision.key, work.key);
        if (decision.verdict != AdmissionVerdict::Wait) {
            record(decision);
        }
    }

    std::map<WorkKey, Item>::iterator pickRandom(State state)
    {
        for (auto item = m_items.begin(); item != m_items.end(); ++item) {
            if (item->second.state == state && below(2) == 0) {
                return item;
            }
        }
        return m_items.end();
    }

    void completeOne()
    {
        const auto item = pickRandom(State::Running);
        if (item == m_items.end()) {
            return;
        }
        item->second.state = State::Ended;
        const auto completion = below(8) == 0 ? Completion::Failed : Completion::Succeeded;
        const Milliseconds time(static_cast<std::int64_t>(below(10) == 0 ? 2000 : 50 + below(100)));
        m_controller->complete(item->first, completion, time, m_now);
    }

    void cancelOne()
    {
        const auto item = pickRandom(State::Waiting);
        if (item == m_items.end()) {
            return;
        }
        // It may already be refused, although takeDecisions() has not returned the refusal yet.
        if (m_controller->cancelWaiting(item->first, m_now)) {
            item->second.state = State::Ended;
        }
    }

    void applyDecisions()
    {
        for (const AdmissionDecision &decision : m_controller->takeDecisions(m_now)) {
            EXPECT_NE(decision.verdict, AdmissionVerdict::Wait);
            record(decision);
        }
    }

    void record(const AdmissionDecision &decision)
    {
        Item &item = m_items.at(decision.key);
        EXPECT_EQ(item.state, State::Waiting) << "decided twice";
        if (decision.verdict == AdmissionVerdict::Refuse) {
            EXPECT_NE(decision.reason, RefusalReason::None);
            item.state = State::Ended;
            return;
        }
        item.state = State::Running;
        checkStart(item.work);
    }

    void checkStart(const WorkItem &work)
    {
        EXPECT_GE(work.deadline, m_now) << "started after its deadline";
        const auto load = m_controller->load(m_now);
        EXPECT_LE(count(State::Running), load.limit);
        if (load.cold) {
            EXPECT_LE(count(State::Running), m_limits.coldConcurrency);
        }
        const bool delaysBackground =
            work.priority != PriorityClass::Background && isBackgroundWaiting();
        m_startsSinceBackground = delaysBackground ? m_startsSinceBackground + 1 : 0;
        EXPECT_LT(m_startsSinceBackground, m_policy.backgroundStartInterval)
            << "Background items are starved";
    }

    void checkInvariants() const
    {
        const auto load = m_controller->load(m_now);
        EXPECT_EQ(load.running, count(State::Running));
        EXPECT_EQ(load.queued, count(State::Waiting));
        EXPECT_LE(load.limit, m_limits.concurrency);
        EXPECT_LE(load.queued, m_limits.queueLength);
        for (const auto &[key, item] : m_items) {
            EXPECT_TRUE(item.state != State::Waiting || item.work.deadline >= m_now)
                << "still waiting after its deadline";
        }
    }

    bool isBackgroundWaiting() const
    {
        return std::ranges::any_of(m_items, [](const auto &entry) {
            return entry.second.state == State::Waiting
                && entry.second.work.priority == PriorityClass::Background;
        });
    }

    std::uint32_t count(State state) const
    {
        return static_cast<std::uint32_t>(std::ranges::count_if(
            m_items, [state](const auto &entry) { return entry.second.state == state; }));
    }

    const AdmissionPolicy m_policy;
    std::unique_ptr<IRandom> m_random;
    AdmissionLimits m_limits;
    std::unique_ptr<IAdmissionController> m_controller;
    TimePoint m_now{1000};
    std::uint64_t m_lastNumber = 0;
    std::uint32_t m_startsSinceBackground = 0;
    std::map<WorkKey, Item> m_items;
};

} // namespace

TEST(AdmissionSchedules, RandomEvents_EachItemIsDecidedOnceWithinLimitsAndDeadline)
{
    constexpr std::uint64_t Schedules = 10'000;
    constexpr int Steps = 120;
    for (std::uint64_t seed = 1; seed <= Schedules && !testing::Test::HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        RandomSchedule(seed).run(Steps);
    }
}
