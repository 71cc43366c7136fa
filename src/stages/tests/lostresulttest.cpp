#include "stages/tests/stagefixture.h"

#include <algorithm>
#include <deque>
#include <numeric>
#include <random>
#include <set>

using namespace lavendertally;
using namespace lavendertally::stages;

namespace {

/// Stages of a job whose results get lost at any moment. The test plays the backend servers and
/// checks the inputs of each piece that they are sent.
class LostResultTest : public StageFixture
{
protected:
    static constexpr std::size_t MaxStages = 6;

    LostResultTest()
    {
        std::vector<serving::ServiceSpec> pools;
        for (std::size_t stage = 0; stage < MaxStages; ++stage) {
            pools.push_back(pool(service(stage).c_str(), 4, 1000000));
        }
        m_serving.set({}, pools);
        for (std::size_t stage = 0; stage < MaxStages; ++stage) {
            addServer(service(stage) + "-a", service(stage).c_str());
            addServer(service(stage) + "-b", service(stage).c_str());
        }
    }

    static std::string service(std::size_t stage) { return "p" + std::to_string(stage); }

    /// \param after the stages that each stage needs
    protocol::StageJob graph(const std::string &request,
                             const std::vector<std::vector<std::uint32_t>> &after,
                             const std::vector<std::uint32_t> &pieces)
    {
        protocol::StageJob result = job(request, 0);
        result.stages.clear();
        for (std::uint32_t stage = 0; stage < after.size(); ++stage) {
            result.stages.push_back({stage, framework::ServiceId(service(stage)), after[stage],
                                     pieces[stage], framework::Bytes(1000)});
        }
        result.objectiveLeft = framework::Milliseconds(60000);
        result.timeLeft = framework::Milliseconds(60000);
        m_graphs[request] = result;
        return result;
    }

    static std::string place(const std::string &request, std::uint32_t stage, std::uint32_t piece)
    {
        return request + "/" + std::to_string(stage) + "/" + std::to_string(piece) + "#";
    }
    /// Checks the calls that have been made since the last time.
    void checkCalls()
    {
        for (; m_checked < m_calls.size(); ++m_checked) {
            m_open.push_back(m_calls[m_checked]);
            for (const PieceRequest &piece : m_calls[m_checked].pieces) {
                checkInputs(piece);
            }
        }
    }
    void checkInputs(const PieceRequest &piece)
    {
        const protocol::StageJob &job = m_graphs.at(piece.request.value());
        std::vector<std::string> wanted;
        for (const std::uint32_t stage : job.stages[piece.stage].after) {
            for (std::uint32_t each = 0; each < job.stages[stage].pieces; ++each) {
                wanted.push_back(place(job.request.value(), stage, each));
            }
        }
        ASSERT_EQ(piece.inputs.size(), wanted.size());
        for (std::size_t index = 0; index < wanted.size(); ++index) {
            EXPECT_TRUE(piece.inputs[index].value().starts_with(wanted[index]))
                << "stage " << piece.stage << " was given '" << piece.inputs[index].value()
                << "' for " << wanted[index];
        }
    }
    bool exists(const framework::StageResultId &result) const { return m_stored.contains(result); }

    /// Answers an open call: pieces whose inputs are gone are not run.
    void answer(std::size_t index)
    {
        const StartStageCall call = m_open[index];
        m_open.erase(m_open.begin() + static_cast<std::ptrdiff_t>(index));
        StageCallOutcome outcome;
        outcome.status = StageCallStatus::Answered;
        for (const PieceRequest &piece : call.pieces) {
            const bool hasInputs = std::all_of(piece.inputs.begin(), piece.inputs.end(),
                                               [this](const auto &id) { return exists(id); });
            if (!hasInputs) {
                outcome.pieces.push_back({PieceStatus::InputMissing, {}});
                continue;
            }
            const framework::StageResultId result(
                place(piece.request.value(), piece.stage, piece.piece) + std::to_string(++m_made));
            m_stored.insert(result);
            outcome.pieces.push_back({PieceStatus::Done, result});
        }
        endCall(call, outcome);
        settle();
    }
    /// Ends an open call without an answer; no piece of it has run.
    void loseCall(std::size_t index)
    {
        const StartStageCall call = m_open[index];
        m_open.erase(m_open.begin() + static_cast<std::ptrdiff_t>(index));
        endCall(call, {StageCallStatus::NotRun, {}});
        settle();
    }
    void settle()
    {
        while (!m_freedResults.empty()) {
            const auto freed = std::exchange(m_freedResults, {});
            for (const framework::StageResultId &result : freed) {
                m_stored.erase(result);
            }
            m_coordinator->resultsFreed(freed, m_now);
            collectCommands();
        }
        checkCalls();
    }
    void lose(std::size_t index)
    {
        auto result = m_stored.begin();
        std::advance(result, static_cast<std::ptrdiff_t>(index));
        m_stored.erase(result);
    }
    /// Answers calls until none is open.
    void finishAll()
    {
        constexpr int MaxRounds = 1000;
        for (int round = 0; m_coordinator->hasJobs() && round < MaxRounds; ++round) {
            while (!m_open.empty()) {
                answer(0);
            }
            advance(100);
            wake();
            settle();
        }
    }
    void releaseFinalResults()
    {
        for (const auto &[request, outcome] : m_outcomes) {
            std::vector<framework::StageResultId> results;
            for (const protocol::StageResultPlace &each : outcome.results) {
                results.push_back(each.id);
            }
            m_coordinator->release(results, m_now);
        }
        collectCommands();
        settle();
    }

    /// \return the same graph with its stages in random order
    static std::vector<std::vector<std::uint32_t>>
    renumbered(const std::vector<std::vector<std::uint32_t>> &after, std::mt19937 &random)
    {
        std::vector<std::uint32_t> numbers(after.size());
        std::iota(numbers.begin(), numbers.end(), 0U);
        std::shuffle(numbers.begin(), numbers.end(), random);
        std::vector<std::vector<std::uint32_t>> result(after.size());
        for (std::size_t stage = 0; stage < after.size(); ++stage) {
            for (const std::uint32_t needed : after[stage]) {
                result[numbers[stage]].push_back(numbers[needed]);
            }
        }
        return result;
    }
    /// Plays jobs with random graphs of stages that lose results at any moment.
    /// \param renumbers whether stages are numbered in random order, instead of each after those it
    /// needs
    void playRandomGraphs(bool renumbers)
    {
        constexpr unsigned Seeds = 300;
        std::size_t lost = 0;
        std::size_t done = 0;
        for (unsigned seed = 1; seed <= Seeds && !HasFailure(); ++seed) {
            SCOPED_TRACE("seed " + std::to_string(seed));
            std::mt19937 random(seed);
            const auto below = [&random](std::size_t limit) {
                return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random);
            };
            m_outcomes.clear();
            for (std::size_t each = 0; each < 4; ++each) {
                std::vector<std::vector<std::uint32_t>> after(3 + below(4));
                std::vector<std::uint32_t> pieces;
                for (std::uint32_t stage = 0; stage < after.size(); ++stage) {
                    pieces.push_back(static_cast<std::uint32_t>(1 + below(4)));
                    for (std::uint32_t earlier = 0; earlier < stage; ++earlier) {
                        if (below(2) == 0) {
                            after[stage].push_back(earlier);
                        }
                    }
                }
                if (renumbers) {
                    after = renumbered(after, random);
                }
                submit(
                    graph("s" + std::to_string(seed) + "j" + std::to_string(each), after, pieces));
                settle();
            }
            for (int step = 0; step < 120; ++step) {
                const std::size_t action = below(10);
                if (action < 2 && !m_stored.empty()) {
                    lose(below(m_stored.size()));
                    ++lost;
                } else if (action < 3 && !m_open.empty()) {
                    loseCall(below(m_open.size()));
                } else if (action < 4) {
                    advance(30);
                    wake();
                    settle();
                } else if (!m_open.empty()) {
                    answer(below(m_open.size()));
                }
            }
            finishAll();
            EXPECT_FALSE(m_coordinator->hasJobs());
            EXPECT_EQ(m_outcomes.size(), 4U);
            done += static_cast<std::size_t>(
                std::count_if(m_outcomes.begin(), m_outcomes.end(), [](const auto &entry) {
                    return entry.second.status == protocol::StageJobStatus::Done;
                }));
            releaseFinalResults();
            EXPECT_TRUE(m_stored.empty());
            EXPECT_TRUE(m_open.empty());
        }
        EXPECT_GT(lost, Seeds);
        EXPECT_GT(done, Seeds);
    }

    std::map<std::string, protocol::StageJob> m_graphs;
    std::vector<StartStageCall> m_open;
    std::size_t m_checked = 0;
    std::set<framework::StageResultId> m_stored;
    int m_made = 0;
};

} // namespace

// Guards against pieces that are sent with an empty input after another stage has found that the
// result both need is gone.
TEST_F(LostResultTest, SeveralStagesWaitForTheLostResult_NoneIsSentWithoutIt)
{
    // The servers of stage 2 are busy, so that its pieces of the second job wait.
    submit(graph("busy", {{}, {0}, {0}}, {1, 1, 8}));
    settle();
    answer(0);
    submit(graph("r", {{}, {0}, {0}}, {1, 1, 2}));
    settle();
    const auto isFor = [this](std::size_t index, std::uint32_t stage) {
        return m_open[index].pieces[0].request.value() == "r"
            && m_open[index].pieces[0].stage == stage;
    };
    const auto find = [&](std::uint32_t stage) {
        std::size_t index = 0;
        while (index < m_open.size() && !isFor(index, stage)) {
            ++index;
        }
        return index;
    };
    ASSERT_LT(find(0), m_open.size());
    answer(find(0));
    ASSERT_LT(find(1), m_open.size());
    std::erase_if(m_stored, [](const auto &id) { return id.value().starts_with("r/0/0"); });
    answer(find(1));
    // Stage 0 runs again, and meanwhile servers for stage 2 become available.
    ASSERT_LT(find(0), m_open.size());
    while (find(0) != 0 || m_open.size() > 1) {
        answer(find(0) == 0 ? 1 : 0);
    }
    finishAll();
    EXPECT_TRUE(isDone("r"));
    EXPECT_TRUE(isDone("busy"));
}

// Guards against a report of a loss that discards what has been made anew since.
TEST_F(LostResultTest, LossIsReportedTwice_ResultThatWasMadeAgainIsKept)
{
    submit(graph("r", {{}, {0}, {0}}, {1, 1, 1}));
    settle();
    answer(0);
    ASSERT_EQ(m_open.size(), 2U);
    m_stored.clear();
    answer(0);
    ASSERT_EQ(m_open.size(), 2U);
    ASSERT_EQ(m_open[1].pieces[0].stage, 0U);
    answer(1);
    const int made = m_made;
    // The other stage, called before the result was made again, reports the first loss.
    answer(0);
    finishAll();
    EXPECT_TRUE(isDone("r"));
    EXPECT_EQ(m_made, made + 2);
}

TEST_F(LostResultTest, InputsAreLostAgainAndAgain_JobEnds)
{
    submit(graph("r", {{}, {0}}, {1, 1}));
    settle();
    for (int each = 0; each < 100 && !m_open.empty(); ++each) {
        if (m_open[0].pieces[0].stage == 1) {
            m_stored.clear();
        }
        answer(0);
    }
    EXPECT_EQ(m_outcomes["r"].status, protocol::StageJobStatus::Failed);
    EXPECT_FALSE(m_coordinator->hasJobs());
}

// Guards against empty, foreign, double and partial inputs, and against jobs, queued pieces and
// results that stay behind, whatever is lost when.
TEST_F(LostResultTest, RandomGraphsLoseResultsAtAnyMoment_InputsAreWholeAndAllJobsEnd)
{
    playRandomGraphs(false);
}

// Guards against stages that are run without the results of a stage with a higher number.
TEST_F(LostResultTest, StagesAreNumberedInAnyOrder_InputsAreWholeAndAllJobsEnd)
{
    playRandomGraphs(true);
}
