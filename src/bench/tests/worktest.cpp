#include "bench/internal/modelload.h"
#include "bench/internal/modelsimulation.h"
#include "bench/internal/modelsummary.h"

#include <gtest/gtest.h>

using namespace lavendertally::bench;

namespace {

constexpr std::uint64_t Seed = 5;
constexpr double DurationMs = 14000.0;
constexpr double DrainMs = 6000.0;

ModelSummary play(ModelPolicyKind policy, double load, std::size_t gateways = 26,
                  ReportMode reports = ReportMode::Shared)
{
    const auto specs = makeModelServers(DurationMs + DrainMs, Seed);
    ModelLoad modelLoad;
    modelLoad.requestsPerSecond = load * capacityOf(specs);
    modelLoad.durationMs = DurationMs;
    modelLoad.gateways = gateways;
    modelLoad.seed = Seed;
    const auto requests = drawModelRequests(modelLoad);
    ModelSimulation simulation(requests, specs, gateways, policy, reports, Seed);
    simulation.run(DurationMs + DrainMs);
    return {requests, simulation};
}

} // namespace

/// Load of long and short prompts with slow servers among the others: the choice by work must serve
/// more in time than the choice by calls, at every load.
class WorkLoadTest : public testing::TestWithParam<double>
{ };

TEST_P(WorkLoadTest, MoreRequestsAreInTimeThanByCalls)
{
    const ModelSummary work = play(ModelPolicyKind::Work, GetParam());
    EXPECT_GT(work.shareInTime(), play(ModelPolicyKind::Today, GetParam()).shareInTime());
    EXPECT_GT(work.shareInTime(), play(ModelPolicyKind::Calls, GetParam()).shareInTime());
}

INSTANTIATE_TEST_SUITE_P(Loads, WorkLoadTest, testing::Values(0.5, 0.8, 1.1));

/// A gateway of today hears from a server with its own answers only, every few seconds.
TEST(WorkBenchTest, ReportsComeWithAnswersOnly_MoreRequestsAreInTimeThanByCalls)
{
    const auto share = [](ModelPolicyKind policy) {
        return play(policy, 0.8, 26, ReportMode::WithAnswers).shareInTime();
    };
    EXPECT_GT(share(ModelPolicyKind::Work), share(ModelPolicyKind::Today));
}

/// The more gateways read the same reports, the more would choose the same servers.
TEST(WorkBenchTest, ManyGateways_DoNotHerd)
{
    const ModelSummary few = play(ModelPolicyKind::Work, 0.5, 26);
    const ModelSummary many = play(ModelPolicyKind::Work, 0.5, 320);
    EXPECT_GT(many.shareInTime(), few.shareInTime() - 0.1);
    EXPECT_LT(many.busiestOverMean(), 1.3);
}

/// Calls to other zones and shared parts that are read again both cost users. Homes in each zone
/// kept the former low at the price of the latter: 5 to 7 million tokens instead of 2.
TEST(WorkBenchTest, HalfLoad_FewerCallsToOtherZonesThanTodayAndFewSharedPartsReadAgain)
{
    const ModelSummary work = play(ModelPolicyKind::Work, 0.5);
    const ModelSummary today = play(ModelPolicyKind::Today, 0.5);
    EXPECT_LT(work.remoteShare(), today.remoteShare());
    EXPECT_LT(work.sharedTokensRead(), 2.0 * today.sharedTokensRead());
}
