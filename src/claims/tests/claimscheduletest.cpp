#include "claims/tests/claimsentry.h"
#include "infrastructure/testing/fakelogfault.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace lavendertally::claims;
using namespace lavendertally::framework;
using namespace lavendertally::infrastructure;

namespace {

constexpr std::uint64_t EntryCount = 3;
constexpr std::uint64_t KeyCount = 3;
constexpr Milliseconds MaxEffectDelay(2000);

ClaimSettings shortWindow()
{
    ClaimSettings settings;
    settings.partitions = 1;
    settings.claimWindow = Milliseconds(6000);
    settings.clockSkew = Milliseconds(200);
    settings.maxBackoff = Milliseconds(200);
    settings.callTimeout = Milliseconds(300);
    return settings;
}

/// Several entries that claim the same keys over one faulty log; counts the runs of each stage.
class RandomSchedule
{
public:
    using Answers = std::map<ClaimOutcome, std::uint32_t>;

    explicit RandomSchedule(std::uint64_t seed) : m_random(FrameworkModule::makeRandom(seed))
    {
        for (std::uint64_t index = 0; index < EntryCount; ++index) {
            m_entries.emplace_back("e" + std::to_string(index), m_log, m_settings,
                                   seed * EntryCount + index);
            m_entries.back().advanceClock(Milliseconds(static_cast<std::int64_t>(index) * 100));
        }
    }

    void run(int steps)
    {
        for (int step = 0; step < steps && !testing::Test::HasFailure(); ++step) {
            SCOPED_TRACE("step " + std::to_string(step));
            takeStep(m_entries[below(EntryCount)]);
            advance(Milliseconds(static_cast<std::int64_t>(below(below(4) == 0 ? 400 : 20))));
        }
    }

    std::uint32_t runs() const { return m_totalRuns; }
    const Answers &answers() const { return m_answers; }

private:
    struct Grant
    {
        ClaimsEntry *entry;
        ClaimKey key;
    };

    std::uint64_t below(std::uint64_t bound) { return m_random->below(bound); }

    void advance(Milliseconds step)
    {
        m_now = m_now + step;
        for (ClaimsEntry &entry : m_entries) {
            entry.advance(step);
        }
        m_ends.emplace_back(m_now, m_log.end(m_stream));
        const Milliseconds kept =
            m_settings.claimWindow + m_settings.clockSkew * 2 + MaxEffectDelay;
        while (m_ends.front().first + kept < m_now) {
            m_log.expireUpTo(m_stream, m_ends.front().second);
            m_ends.pop_front();
        }
    }

    void takeStep(ClaimsEntry &entry)
    {
        if (entry.isPaused()) {
            if (below(3) == 0) {
                entry.resume();
            }
            return;
        }
        if (!entry.isAlive()) {
            entry.start();
            return;
        }
        const std::uint64_t draw = below(12);
        if (draw == 0) {
            entry.pause();
        } else if (draw == 1) {
            kill(entry);
        } else if (draw <= 3) {
            injectFaults(entry.connection());
        } else if (draw <= 7) {
            useGrant(entry);
        } else {
            startClaim(entry);
        }
    }

    void injectFaults(FakeLogService &connection)
    {
        static constexpr std::array Faults = {
            FakeLogFault::Unavailable,     FakeLogFault::AnswerLost,
            FakeLogFault::Doubled,         FakeLogFault::Reordered,
            FakeLogFault::RateLimited,     FakeLogFault::DoubledAnswerLost,
            FakeLogFault::MalformedAnswer, FakeLogFault::None};
        connection.failAppends(Faults[below(Faults.size())],
                               static_cast<std::uint32_t>(1 + below(3)));
        connection.setDown(below(6) == 0);
        connection.setLagging(below(6) == 0);
        const auto bound = static_cast<std::uint64_t>(below(4) == 0 ? MaxEffectDelay.value() : 20);
        connection.setDelays(Milliseconds(static_cast<std::int64_t>(below(bound))),
                             Milliseconds(static_cast<std::int64_t>(below(20))));
    }

    void kill(ClaimsEntry &entry)
    {
        entry.kill();
        std::erase_if(m_grants, [&entry](const Grant &grant) { return grant.entry == &entry; });
    }

    void startClaim(ClaimsEntry &entry)
    {
        const ClaimKey key{TeamId("t"), RequestId(std::to_string(below(KeyCount))), StageId("s")};
        // The clock of the caller lies between those of the entries.
        const auto issued = m_issued.try_emplace(key, m_now + Milliseconds(100)).first->second;
        const Milliseconds wallOffset = entry.clock().wallNow() - entry.clock().now();
        const Milliseconds timeLimit(static_cast<std::int64_t>(below(800)));
        const auto answered = std::make_shared<bool>(false);
        entry.service().claim({key, issued + wallOffset, entry.clock().now() + timeLimit},
                              [this, &entry, key, answered](const ClaimAnswer &answer) {
                                  EXPECT_FALSE(std::exchange(*answered, true));
                                  onAnswer(entry, key, answer);
                              });
    }

    void onAnswer(ClaimsEntry &entry, const ClaimKey &key, const ClaimAnswer &answer)
    {
        ++m_answers[answer.outcome];
        if (answer.outcome == ClaimOutcome::Granted) {
            m_grants.push_back({&entry, key});
        }
        if (answer.outcome == ClaimOutcome::AlreadyDone) {
            EXPECT_EQ(m_runs[key], 1U);
            EXPECT_EQ(answer.result, m_results[key]);
        }
    }

    /// Releases a granted stage, or runs it and records the result, or dies after the run.
    void useGrant(ClaimsEntry &entry)
    {
        const auto grant = std::ranges::find_if(
            m_grants, [&entry](const Grant &candidate) { return candidate.entry == &entry; });
        if (grant == m_grants.end()) {
            return;
        }
        const ClaimKey key = grant->key;
        m_grants.erase(grant);
        const std::uint64_t draw = below(8);
        if (draw <= 2) {
            entry.service().recordNotRun(key);
            return;
        }
        ++m_totalRuns;
        EXPECT_EQ(++m_runs[key], 1U) << "ran twice";
        m_results[key] = "result " + std::to_string(m_totalRuns);
        if (draw == 3) {
            kill(entry);
            return;
        }
        entry.service().recordDone(key, m_results[key]);
    }

    const StreamName m_stream{"claims.00"};
    const ClaimSettings m_settings = shortWindow();
    std::unique_ptr<IRandom> m_random;
    FakeLog m_log;
    std::deque<ClaimsEntry> m_entries;
    TimePoint m_now;
    std::deque<std::pair<TimePoint, LogOffset>> m_ends;
    std::map<ClaimKey, TimePoint> m_issued;
    std::vector<Grant> m_grants;
    std::map<ClaimKey, std::uint32_t> m_runs;
    std::map<ClaimKey, std::string> m_results;
    Answers m_answers;
    std::uint32_t m_totalRuns = 0;
};

} // namespace

class ClaimSchedules : public testing::TestWithParam<std::uint64_t>
{ };

TEST_P(ClaimSchedules, FaultsAndRestarts_EachKeyRunsAtMostOnceAndItsResultStays)
{
    // 10,000 schedules in four parts, so that each part stays within the test timeout under the
    // sanitizers.
    constexpr std::uint64_t Schedules = 2'500;
    const std::uint64_t first = GetParam() * Schedules + 1;
    constexpr int Steps = 120;
    std::uint32_t runs = 0;
    RandomSchedule::Answers answers;
    for (std::uint64_t seed = first; seed < first + Schedules && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        RandomSchedule schedule(seed);
        schedule.run(Steps);
        runs += schedule.runs();
        for (const auto &[outcome, count] : schedule.answers()) {
            answers[outcome] += count;
        }
    }
    std::cout << "    runs " << runs;
    for (const auto outcome :
         {ClaimOutcome::Granted, ClaimOutcome::AlreadyDone, ClaimOutcome::HeldElsewhere,
          ClaimOutcome::Unavailable, ClaimOutcome::TooOld}) {
        std::cout << " outcome " << static_cast<int>(outcome) << ": " << answers[outcome];
        EXPECT_GT(answers[outcome], Schedules / 10) << "the schedules rarely reach this outcome";
    }
    std::cout << '\n';
}

INSTANTIATE_TEST_SUITE_P(Parts, ClaimSchedules, testing::Range<std::uint64_t>(0, 4));
