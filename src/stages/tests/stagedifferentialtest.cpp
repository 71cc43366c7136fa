#include "framework/frameworkmodule.h"
#include "framework/irandom.h"
#include "stages/tests/naivecoordinator.h"
#include "stages/tests/stagefixture.h"

#include <queue>

using namespace lavendertally;
using namespace lavendertally::stages;

namespace {

struct Arrival
{
    framework::TimePoint at;
    protocol::StageJob job;
};

struct Tally
{
    std::size_t asked = 0;
    std::size_t inTime = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    std::size_t calls = 0;
};

constexpr framework::TimePoint Begin(1000000);

} // namespace

/// Plays recorded arrivals on two pools of four servers against a coordinator. A call takes 200 ms
/// and 10 ms a piece.
class StageDifferentialTest : public StageFixture
{
protected:
    static constexpr std::uint64_t Seed = 20261204;
    static constexpr std::int64_t Length = 20000;

    StageDifferentialTest()
    {
        m_serving.set({}, {pool("first", 16, 1000000000), pool("second", 16, 1000000000)});
        for (const char *server : {"1", "2", "3", "4"}) {
            addServer(std::string("f") + server, "first");
            addServer(std::string("s") + server, "second");
        }
    }

    /// \param meanGap mean time between two arrivals
    static std::vector<Arrival> arrivals(std::uint64_t meanGap)
    {
        const auto random = framework::FrameworkModule::makeRandom(Seed);
        std::vector<Arrival> result;
        framework::TimePoint at = Begin;
        while (at < Begin + framework::Milliseconds(Length)) {
            at =
                at + framework::Milliseconds(static_cast<std::int64_t>(random->below(2 * meanGap)));
            const auto first = static_cast<std::uint32_t>(1 + random->below(4));
            const auto second = static_cast<std::uint32_t>(1 + random->below(4));
            result.push_back({at, job("r" + std::to_string(result.size()), first, second, 1500)});
        }
        return result;
    }

    Tally play(IStageCoordinator &coordinator, const std::vector<Arrival> &arrivals)
    {
        using Ending = std::pair<framework::TimePoint, StartStageCall>;
        const auto later = [](const Ending &a, const Ending &b) { return a.first > b.first; };
        std::priority_queue<Ending, std::vector<Ending>, decltype(later)> running(later);
        std::map<std::string, framework::TimePoint> begun;
        Tally tally;
        std::size_t next = 0;
        framework::TimePoint now = Begin;
        framework::TimePoint nextWake = Begin;
        const framework::TimePoint end = Begin + framework::Milliseconds(4 * Length);
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
                begun[arrivals[next].job.request.value()] = now;
                coordinator.submit(framework::DaemonId("d"), arrivals[next].job, now);
                ++next;
                ++tally.asked;
            } else {
                coordinator.wake(now);
                nextWake = now + framework::Milliseconds(50);
            }
            for (const StageCommand &command : coordinator.takeCommands()) {
                if (const auto *call = std::get_if<StartStageCall>(&command)) {
                    ++tally.calls;
                    const framework::Milliseconds taken(
                        200 + 10 * static_cast<std::int64_t>(call->pieces.size()));
                    running.emplace(now + taken, *call);
                } else if (const auto *ended = std::get_if<EndStageJob>(&command)) {
                    count(ended->outcome, now - begun[ended->outcome.request.value()], tally);
                }
            }
        }
        return tally;
    }

    static void count(const protocol::StageJobOutcome &outcome, framework::Milliseconds taken,
                      Tally &tally)
    {
        if (outcome.status != protocol::StageJobStatus::Done) {
            ++tally.refused;
        } else if (taken <= framework::Milliseconds(1500)) {
            ++tally.inTime;
        } else {
            ++tally.late;
        }
    }
};

TEST_F(StageDifferentialTest, LightLoadIsServedAlikeInTime)
{
    const auto light = arrivals(250);
    NaiveCoordinator naive(m_servers);
    const Tally simple = play(naive, light);
    const Tally batched = play(*m_coordinator, light);
    EXPECT_EQ(batched.inTime, batched.asked);
    EXPECT_GE(batched.inTime, simple.inTime);
    EXPECT_LE(batched.calls, simple.calls);
}

TEST_F(StageDifferentialTest, LoadThatOnlyBatchesBearIsServedInTime)
{
    const auto heavy = arrivals(30);
    NaiveCoordinator naive(m_servers);
    const Tally simple = play(naive, heavy);
    const Tally batched = play(*m_coordinator, heavy);
    EXPECT_GT(batched.inTime * 10, batched.asked * 9);
    EXPECT_LT(simple.inTime * 10, simple.asked);
}

TEST_F(StageDifferentialTest, OverloadKeepsServingInTimeAndRefusesTheRest)
{
    const auto overload = arrivals(8);
    const Tally batched = play(*m_coordinator, overload);
    // Four servers make 16 pieces in 360 ms, so 178 pieces a second; a job has 2.5 of each stage.
    constexpr std::size_t PossibleJobs = 178 * 20 * 10 / 25;
    EXPECT_GT(batched.inTime * 10, PossibleJobs * 7);
    EXPECT_GT(batched.inTime, batched.late * 4);
    EXPECT_EQ(batched.asked, batched.inTime + batched.late + batched.refused);
}
