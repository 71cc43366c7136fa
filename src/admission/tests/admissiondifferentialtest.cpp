#include "admission/admissionmodule.h"
#include "admission/tests/servermodel.h"
#include "admission/tests/workitems.h"
#include "admission/types/admissionpolicy.h"
#include "framework/frameworkmodule.h"
#include "framework/irandom.h"

#include <gtest/gtest.h>

#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace lavendertally::admission;
using namespace lavendertally::framework;
using lavendertally::configuration::PriorityClass;

namespace {

constexpr AdmissionLimits Limits{8, 1, 32};
/// With a concurrency of 8, one backend server completes 80 items per second.
constexpr Milliseconds MeanServiceTime(100);
constexpr Milliseconds Minute(60'000);
constexpr TimePoint Start(20'000);
constexpr std::uint32_t CapacityPerMinute = 4800;

/// \return arrivals of one minute, in bursts of four. One large team sends 60% of them and fifty
/// small teams the rest.
std::vector<Arrival> generateArrivals(std::uint64_t seed, std::uint32_t percentOfCapacity)
{
    const auto random = FrameworkModule::makeRandom(seed);
    const std::uint32_t count = CapacityPerMinute * percentOfCapacity / 100;
    std::multimap<TimePoint, Arrival> arrivals;
    TimePoint burst;
    for (std::uint32_t number = 0; number < count; ++number) {
        if (number % 4 == 0) {
            burst = Start + Milliseconds(static_cast<std::int64_t>(random->below(Minute.value())));
        }
        Arrival arrival{burst, makeItem(number), MeanServiceTime};
        arrival.serviceTime = Milliseconds(static_cast<std::int64_t>(50 + random->below(101)));
        const bool large = random->below(100) < 60;
        arrival.work.team = TeamId(large ? "large" : "small-" + std::to_string(random->below(50)));
        const std::uint64_t draw = random->below(100);
        arrival.work.priority = draw < 10 ? PriorityClass::Interactive
            : draw < 90                   ? PriorityClass::Standard
                                          : PriorityClass::Background;
        const std::int64_t budget = draw < 10 ? 1000 : draw < 90 ? 2000 : 120'000;
        arrival.work.deadline = arrival.at + Milliseconds(budget);
        arrivals.emplace(arrival.at, arrival);
    }
    std::vector<Arrival> ordered;
    for (const auto &[at, arrival] : arrivals) {
        ordered.push_back(arrival);
    }
    return ordered;
}

struct Outcome
{
    Tally total;
    Tally interactive;
    Tally standard;
    Tally background;
    std::uint32_t overloads = 0;
};

/// \return single calls before the measured minute, which show that the backend server is warm
std::vector<Arrival> warmUpArrivals()
{
    std::vector<Arrival> arrivals;
    for (std::uint32_t number = 0; number < 100; ++number) {
        const TimePoint at(static_cast<std::int64_t>(number) * 150);
        arrivals.push_back({at, makeItem(1'000'000 + number), MeanServiceTime});
    }
    return arrivals;
}

enum class ColdStart
{
    Never,
    Reported,
    Hidden,
};

Outcome simulate(IAdmissionController &controller, const std::vector<Arrival> &arrivals,
                 ColdStart coldStart)
{
    ServerModel server(controller, Limits, coldStart == ColdStart::Reported);
    server.run(warmUpArrivals());
    server.advanceTo(Start);
    server.clearTallies();
    if (coldStart != ColdStart::Never) {
        server.scheduleColdStart(Start + Milliseconds(15'000));
        server.scheduleColdStart(Start + Milliseconds(40'000));
    }
    server.run(arrivals);
    server.advanceTo(Start + Minute * 10);
    return {server.total(), server.tally(PriorityClass::Interactive),
            server.tally(PriorityClass::Standard), server.tally(PriorityClass::Background),
            server.overloads()};
}

void print(const char *name, const Outcome &outcome)
{
    std::cout << std::fixed << std::setprecision(4) << "    " << std::setw(10) << name
              << " attainment " << outcome.total.attainment() << " interactive "
              << outcome.interactive.attainment() << " standard " << outcome.standard.attainment()
              << " background " << outcome.background.attainment() << " in time "
              << outcome.total.inTime << " late " << outcome.total.late << " refused "
              << outcome.total.refused << " failed " << outcome.total.failed << " overloads "
              << outcome.overloads << '\n';
}

class AdmissionDifferential : public testing::TestWithParam<std::uint64_t>
{
protected:
    void simulateBoth(std::uint32_t percentOfCapacity, ColdStart coldStart)
    {
        const std::vector<Arrival> arrivals = generateArrivals(GetParam(), percentOfCapacity);
        const auto policy = AdmissionModule::makeController(Limits, AdmissionPolicy());
        const auto naive = AdmissionModule::makeNaiveController(Limits);
        m_policy = simulate(*policy, arrivals, coldStart);
        m_naive = simulate(*naive, arrivals, coldStart);
        print("policy", m_policy);
        print("naive", m_naive);
    }

    Outcome m_policy;
    Outcome m_naive;
};

} // namespace

TEST_P(AdmissionDifferential, LoadAtTwiceCapacity_GoodputStaysNearCapacity)
{
    SCOPED_TRACE("seed " + std::to_string(GetParam()));
    simulateBoth(200, ColdStart::Never);
    EXPECT_GE(m_policy.total.inTime, CapacityPerMinute * 9 / 10);
    EXPECT_GE(m_policy.interactive.attainment(), 0.99);
    EXPECT_GT(m_policy.background.inTime, 0U);
    EXPECT_LT(m_naive.total.inTime, m_policy.total.inTime);
}

TEST_P(AdmissionDifferential, LoadAtSeventyPercent_NearlyAllItemsMeetTheirDeadlines)
{
    SCOPED_TRACE("seed " + std::to_string(GetParam()));
    simulateBoth(70, ColdStart::Never);
    EXPECT_GE(m_policy.total.attainment(), 0.995);
}

TEST_P(AdmissionDifferential, ColdStartReported_OverloadsAtMostOncePerColdStart)
{
    SCOPED_TRACE("seed " + std::to_string(GetParam()));
    simulateBoth(70, ColdStart::Reported);
    // Only items that were already running when cold start began may fail.
    EXPECT_LE(m_policy.overloads, 2U);
    EXPECT_GT(m_policy.total.attainment(), m_naive.total.attainment());
}

TEST_P(AdmissionDifferential, ColdStartNotReported_OverloadsAreFewAndAttainmentBeatsNaive)
{
    SCOPED_TRACE("seed " + std::to_string(GetParam()));
    simulateBoth(70, ColdStart::Hidden);
    EXPECT_LE(m_policy.overloads, 12U);
    EXPECT_GT(m_policy.total.attainment(), m_naive.total.attainment());
}

INSTANTIATE_TEST_SUITE_P(Seeds, AdmissionDifferential, testing::Values(1, 2, 3));
