#include "framework/frameworkmodule.h"
#include "framework/irandom.h"
#include "stages/testing/stageloadsimulation.h"
#include "stages/tests/fifocoordinator.h"
#include "stages/tests/stagefixture.h"

using namespace lavendertally;
using namespace lavendertally::stages;

namespace {

constexpr framework::TimePoint LoadStart(1000000);

/// Number of jobs by outcome, and of calls.
struct LoadResult : StageLoadResult
{
    std::size_t calls = 0;
};

} // namespace

/// Simulates a random load with a fixed seed on two pools of four backend servers, where a call
/// takes 200 ms plus 10 ms per piece, and compares the coordinator with an unbatched FIFO baseline.
class StageDifferentialTest : public StageFixture
{
protected:
    static constexpr std::uint64_t Seed = 20261204;
    static constexpr std::int64_t DurationMs = 20000;

    StageDifferentialTest()
    {
        m_serving.set({}, {pool("first", 16, 1000000000), pool("second", 16, 1000000000)});
        for (const char *server : {"1", "2", "3", "4"}) {
            addServer(std::string("f") + server, "first");
            addServer(std::string("s") + server, "second");
        }
    }

    /// Generates jobs with one to four pieces per stage and an objective of 1500 ms.
    /// \param meanGapMs mean time between two arrivals
    static std::vector<StageArrival> arrivals(std::uint64_t meanGapMs)
    {
        const auto random = framework::FrameworkModule::makeRandom(Seed);
        std::vector<StageArrival> result;
        framework::TimePoint at = LoadStart;
        while (at < LoadStart + framework::Milliseconds(DurationMs)) {
            at = at
                + framework::Milliseconds(static_cast<std::int64_t>(random->below(2 * meanGapMs)));
            const auto first = static_cast<std::uint32_t>(1 + random->below(4));
            const auto second = static_cast<std::uint32_t>(1 + random->below(4));
            result.push_back({at, job("r" + std::to_string(result.size()), first, second, 1500)});
        }
        return result;
    }

    LoadResult runLoad(IStageCoordinator &coordinator, const std::vector<StageArrival> &arrivals)
    {
        StageLoadSimulation simulation(m_serving, coordinator);
        simulation.run(arrivals);
        return {simulation.total(), simulation.calls()};
    }
};

TEST_F(StageDifferentialTest, LightLoad_AllJobsMeetObjectiveWithNoMoreCallsThanFifo)
{
    const auto light = arrivals(250);
    FifoCoordinator fifoCoordinator(m_servers);
    const LoadResult fifo = runLoad(fifoCoordinator, light);
    const LoadResult batched = runLoad(*m_coordinator, light);
    EXPECT_EQ(batched.inTime, batched.submitted);
    EXPECT_GE(batched.inTime, fifo.inTime);
    EXPECT_LE(batched.calls, fifo.calls);
}

TEST_F(StageDifferentialTest, LoadBeyondUnbatchedCapacity_BatchedJobsMeetObjective)
{
    const auto heavy = arrivals(30);
    FifoCoordinator fifoCoordinator(m_servers);
    const LoadResult fifo = runLoad(fifoCoordinator, heavy);
    const LoadResult batched = runLoad(*m_coordinator, heavy);
    EXPECT_GT(batched.inTime * 10, batched.submitted * 9);
    EXPECT_LT(fifo.inTime * 10, fifo.submitted);
}

TEST_F(StageDifferentialTest, Overload_GoodputStaysNearCapacityAndRestIsRefused)
{
    const auto overload = arrivals(8);
    const LoadResult batched = runLoad(*m_coordinator, overload);
    // Four backend servers with 16 pieces per 360 ms each run 178 pieces per second; a job has 2.5
    // pieces per stage on average, and the load lasts 20 s.
    constexpr std::size_t PossibleJobs = 178 * 20 * 10 / 25;
    EXPECT_GT(batched.inTime * 10, PossibleJobs * 7);
    EXPECT_GT(batched.inTime, batched.late * 4);
    EXPECT_EQ(batched.submitted, batched.inTime + batched.late + batched.refused);
}
