#include "framework/frameworkmodule.h"
#include "framework/irandom.h"
#include "stages/tests/fifocoordinator.h"
#include "stages/tests/stagefixture.h"

#include <queue>

using namespace lavendertally;
using namespace lavendertally::stages;

namespace {

/// A job and the time at which it is submitted.
struct Arrival
{
    framework::TimePoint at;
    protocol::StageJob job;
};

/// Number of jobs by outcome, and of calls.
struct LoadResult
{
    std::size_t submitted = 0;
    std::size_t inTime = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    std::size_t calls = 0;
};

constexpr framework::TimePoint LoadStart(1000000);

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
    static std::vector<Arrival> arrivals(std::uint64_t meanGapMs)
    {
        const auto random = framework::FrameworkModule::makeRandom(Seed);
        std::vector<Arrival> result;
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

    /// Runs the arrivals against a coordinator in simulated time.
    LoadResult runLoad(IStageCoordinator &coordinator, const std::vector<Arrival> &arrivals)
    {
        using CallEnd = std::pair<framework::TimePoint, StartStageCall>;
        const auto later = [](const CallEnd &a, const CallEnd &b) { return a.first > b.first; };
        std::priority_queue<CallEnd, std::vector<CallEnd>, decltype(later)> running(later);
        std::map<std::string, framework::TimePoint> submittedAt;
        LoadResult result;
        std::size_t next = 0;
        framework::TimePoint now = LoadStart;
        framework::TimePoint nextWake = LoadStart;
        const framework::TimePoint end = LoadStart + framework::Milliseconds(4 * DurationMs);
        while (now < end && (next < arrivals.size() || !running.empty())) {
            now = nextWake;
            if (next < arrivals.size()) {
                now = std::min(now, arrivals[next].at);
            }
            if (!running.empty()) {
                now = std::min(now, running.top().first);
            }
            if (!running.empty() && running.top().first == now) {
                const StartStageCall call = running.top().second;
                running.pop();
                StageCallOutcome outcome;
                outcome.status = StageCallStatus::Answered;
                for (const PieceRequest &piece : call.pieces) {
                    outcome.pieces.push_back(
                        {PieceStatus::Done,
                         framework::StageResultId(std::to_string(call.call.value()) + "/"
                                                  + std::to_string(piece.piece)
                                                  + piece.request.value())});
                }
                coordinator.callEnded(call.call, outcome, now);
            } else if (next < arrivals.size() && arrivals[next].at == now) {
                submittedAt[arrivals[next].job.request.value()] = now;
                coordinator.submit(framework::DaemonId("d"), arrivals[next].job, now);
                ++next;
                ++result.submitted;
            } else {
                coordinator.wake(now);
                nextWake = now + framework::Milliseconds(50);
            }
            for (const StageCommand &command : coordinator.takeCommands()) {
                if (const auto *call = std::get_if<StartStageCall>(&command)) {
                    ++result.calls;
                    const framework::Milliseconds duration(
                        200 + 10 * static_cast<std::int64_t>(call->pieces.size()));
                    running.emplace(now + duration, *call);
                } else if (const auto *ended = std::get_if<EndStageJob>(&command)) {
                    count(ended->outcome, now - submittedAt[ended->outcome.request.value()],
                          result);
                }
            }
        }
        return result;
    }

    static void count(const protocol::StageJobOutcome &outcome, framework::Milliseconds duration,
                      LoadResult &result)
    {
        if (outcome.status != protocol::StageJobStatus::Done) {
            ++result.refused;
        } else if (duration <= framework::Milliseconds(1500)) {
            ++result.inTime;
        } else {
            ++result.late;
        }
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
