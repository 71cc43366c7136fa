#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "rollout/internal/badanswertests.h"
#include "rollout/internal/evidencetotals.h"
#include "rollout/internal/oldanswers.h"
#include "rollout/internal/rolloutfinding.h"

#include <map>
#include <optional>

namespace lavendertally::rollout {

/// Compares the answers of the new version with those of the old one over the same period, by route
/// and for all routes together.
class RolloutJudge
{
public:
    /// \param totals all answers so far; no count is smaller than in the call before
    void observe(const EvidenceTotals &totals, framework::TimePoint now);

    /// \return why the new version is bad; nothing while that is not conclusive
    const std::optional<RolloutFinding> &finding() const { return m_finding; }
    /// \return answers of the new version that were judged
    std::uint64_t answers() const { return m_all.failures.answers(); }
    std::uint64_t failures() const { return m_all.failures.bad(); }
    std::uint64_t slowAnswers() const { return m_all.slow.bad(); }

private:
    struct Tests
    {
        BadAnswerTests failures;
        BadAnswerTests slow;
    };
    struct Route
    {
        OldAnswers old;
        protocol::RolloutEvidence judged;
        Tests tests;
    };
    /// Answers of all routes with the bad ones that the old version's rates let expect.
    struct Sum
    {
        std::uint64_t answers = 0;
        std::uint64_t bad = 0;
        double expected = 0.0;

        void add(std::uint64_t routeAnswers, std::uint64_t routeBad, double ordinary);
        double ordinary() const { return expected / static_cast<double>(answers); }
    };

    void judge(const framework::RouteId &id, Route &route, const protocol::RolloutEvidence &total,
               Sum &failures, Sum &slow);
    void judgeAll(const Sum &failures, const Sum &slow);
    void conclude(const BadAnswerTests &tests, RolloutFinding::Kind kind,
                  const framework::RouteId &route, double ordinary);

    std::map<framework::RouteId, Route> m_routes;
    Tests m_all;
    std::optional<RolloutFinding> m_finding;
};

} // namespace lavendertally::rollout
