#include "rollout/testing/rolloutsimulation.h"

#include <gtest/gtest.h>

#include <cmath>
#include <functional>
#include <iostream>

using namespace lavendertally;
using namespace lavendertally::rollout;

namespace {

/// In each of several parts, so that none takes long.
constexpr int GoodCasesOfAPart = 300;
constexpr int BadCasesOfAKind = 400;

struct Tally
{
    int cases = 0;
    int rolledBack = 0;
    int completed = 0;
    int overExposed = 0;
    int lateRollbacks = 0;
    double mostExposure = 0.0;

    void add(const GeneratedCase &settings, const GeneratedOutcome &outcome)
    {
        constexpr framework::Milliseconds RollbackLimit{5000};
        ++cases;
        rolledBack += outcome.step == protocol::RolloutStep::RolledBack ? 1 : 0;
        completed += outcome.step == protocol::RolloutStep::Completed ? 1 : 0;
        const double allowed = settings.exposureShare * static_cast<double>(outcome.sent)
            + static_cast<double>(settings.exposureSlack);
        overExposed += static_cast<double>(outcome.sentToTarget) > allowed ? 1 : 0;
        lateRollbacks += outcome.fiftiethBad.value() >= 0
                && outcome.lastToTarget - outcome.fiftiethBad > RollbackLimit
            ? 1
            : 0;
        mostExposure = std::max(mostExposure, outcome.exposure());
    }
};

/// Draws loads: 40 to 400 requests a second at 1, 3 or 26 gateways, 2 to 8 servers of a version, 1
/// to 4 routes, and failures of up to 1% of both versions.
class CaseGenerator
{
public:
    explicit CaseGenerator(std::uint64_t seed)
        : m_random(framework::FrameworkModule::makeRandom(seed)), m_number(seed * 1000)
    { }

    GeneratedCase next()
    {
        constexpr std::array<std::size_t, 3> Gateways{1, 3, 26};
        GeneratedCase result;
        result.seed = ++m_number;
        result.gateways = Gateways.at(m_random->below(Gateways.size()));
        result.servers = 2 + m_random->below(7);
        result.routes = 1 + m_random->below(4);
        result.requestsPerSecond = 40.0 * std::pow(10.0, uniform());
        result.medianMs = 5.0 * std::pow(4.0, uniform());
        result.spread = 0.1 + 0.5 * uniform();
        result.ordinaryFailures = uniform() < 0.5 ? 0.0 : 0.01 * uniform();
        return result;
    }
    double uniform() { return static_cast<double>(m_random->below(1000000)) / 1e6; }

private:
    std::unique_ptr<framework::IRandom> m_random;
    std::uint64_t m_number;
};

Tally play(int cases, std::uint64_t seed,
           const std::function<void(CaseGenerator &, GeneratedCase &)> &spoil)
{
    CaseGenerator generator(seed);
    Tally tally;
    for (int each = 0; each < cases; ++each) {
        GeneratedCase settings = generator.next();
        spoil(generator, settings);
        tally.add(settings, RolloutSimulation(settings).run());
    }
    std::cout << "cases " << tally.cases << ", rolled back " << tally.rolledBack << ", completed "
              << tally.completed << ", over the exposure bound " << tally.overExposed
              << ", rolled back late " << tally.lateRollbacks << ", largest share "
              << tally.mostExposure << '\n';
    return tally;
}

struct BadKind
{
    const char *name;
    GeneratedVersion::Onset onset;
    bool isSlow;
    bool isOneRoute;
    /// Largest part of the cases in which the bad version may be completed. Versions that turn bad
    /// late do so until a second before the deadline.
    double mostCompleted;
};

} // namespace

class BadVersionTest : public testing::TestWithParam<BadKind>
{ };

INSTANTIATE_TEST_SUITE_P(
    Rollout, BadVersionTest,
    testing::Values(
        BadKind{"FailuresAtOnce", GeneratedVersion::Onset::AtOnce, false, false, 0.01},
        BadKind{"SlowAtOnce", GeneratedVersion::Onset::AtOnce, true, false, 0.01},
        BadKind{"OneRouteAtOnce", GeneratedVersion::Onset::AtOnce, false, true, 0.05},
        BadKind{"FailuresLate", GeneratedVersion::Onset::Late, false, false, 0.05},
        BadKind{"SlowLate", GeneratedVersion::Onset::Late, true, false, 0.05},
        BadKind{"OneRouteLate", GeneratedVersion::Onset::Late, false, true, 0.15},
        BadKind{"FailuresUnderLoad", GeneratedVersion::Onset::UnderLoad, false, false, 0.05},
        BadKind{"SlowUnderLoad", GeneratedVersion::Onset::UnderLoad, true, false, 0.05},
        BadKind{"OneRouteUnderLoad", GeneratedVersion::Onset::UnderLoad, false, true, 0.15}),
    [](const testing::TestParamInfo<BadKind> &info) { return info.param.name; });

// Guards against a bad version that stays in use, or that gets more than its share before it is
// noticed, or for longer than allowed after its 50th bad answer.
TEST_P(BadVersionTest, GeneratedCases_AreRolledBackWithinTheBounds)
{
    const BadKind &kind = GetParam();
    const Tally tally =
        play(BadCasesOfAKind, 7, [&kind](CaseGenerator &generator, GeneratedCase &settings) {
            GeneratedVersion &version = settings.version;
            version.onset = kind.onset;
            version.isOneRouteBad = kind.isOneRoute;
            version.failureShare = kind.isSlow ? 0.0 : 0.2 + 0.6 * generator.uniform();
            version.slowdown = kind.isSlow ? 3.0 + 3.0 * generator.uniform() : 1.0;
            version.badFrom = framework::Milliseconds(
                1000 + static_cast<std::int64_t>(10000.0 * generator.uniform()));
        });
    EXPECT_EQ(tally.overExposed, 0);
    EXPECT_EQ(tally.lateRollbacks, 0);
    EXPECT_LE(tally.completed, kind.mostCompleted * tally.cases);
}

class GoodVersionTest : public testing::TestWithParam<std::uint64_t>
{ };

INSTANTIATE_TEST_SUITE_P(Rollout, GoodVersionTest, testing::Range<std::uint64_t>(11, 16));

// Guards against a decision that takes chance for a fault, or that misses the deadline.
TEST_P(GoodVersionTest, GeneratedCases_AreCompletedBeforeTheDeadline)
{
    const Tally tally = play(GoodCasesOfAPart, GetParam(), [](CaseGenerator &, GeneratedCase &) {});
    EXPECT_LE(tally.rolledBack, 0.01 * GoodCasesOfAPart);
    EXPECT_EQ(tally.rolledBack + tally.completed, GoodCasesOfAPart);
}
