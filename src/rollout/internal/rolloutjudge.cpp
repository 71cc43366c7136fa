#include "rollout/internal/rolloutjudge.h"

namespace lavendertally::rollout {

void RolloutJudge::Sum::add(std::uint64_t routeAnswers, std::uint64_t routeBad, double ordinary)
{
    answers += routeAnswers;
    bad += routeBad;
    expected += ordinary * static_cast<double>(routeAnswers);
}

void RolloutJudge::observe(const EvidenceTotals &totals, framework::TimePoint now)
{
    // The old version's answers of the period come first: the new one is compared with them.
    for (const auto &[key, total] : totals) {
        if (!key.second) {
            m_routes[key.first].old.update(total, now);
        }
    }
    Sum failures;
    Sum slow;
    for (const auto &[key, total] : totals) {
        if (key.second) {
            judge(key.first, m_routes[key.first], total, failures, slow);
        }
    }
    judgeAll(failures, slow);
}

void RolloutJudge::judge(const framework::RouteId &id, Route &route,
                         const protocol::RolloutEvidence &total, Sum &failures, Sum &slow)
{
    const std::uint64_t answers = total.answers - route.judged.answers;
    const std::uint64_t failed = total.failures - route.judged.failures;
    if (answers == 0) {
        return;
    }
    const double failureRate = route.old.failureRate();
    route.tests.failures.observe(answers, failed, failureRate);
    failures.add(answers, failed, failureRate);
    conclude(route.tests.failures, RolloutFinding::Kind::Failures, id, failureRate);
    if (route.old.knowsTimes() && answers > failed) {
        std::uint64_t late = 0;
        for (std::size_t index = route.old.slowAbove() + 1; index < total.times.size(); ++index) {
            late += total.times[index] - route.judged.times[index];
        }
        const double slowRate = route.old.slowRate();
        route.tests.slow.observe(answers - failed, late, slowRate);
        slow.add(answers - failed, late, slowRate);
        conclude(route.tests.slow, RolloutFinding::Kind::SlowAnswers, id, slowRate);
    }
    route.judged = total;
}

void RolloutJudge::judgeAll(const Sum &failures, const Sum &slow)
{
    if (failures.answers > 0) {
        m_all.failures.observe(failures.answers, failures.bad, failures.ordinary());
        conclude(m_all.failures, RolloutFinding::Kind::Failures, {}, failures.ordinary());
    }
    if (slow.answers > 0) {
        m_all.slow.observe(slow.answers, slow.bad, slow.ordinary());
        conclude(m_all.slow, RolloutFinding::Kind::SlowAnswers, {}, slow.ordinary());
    }
}

void RolloutJudge::conclude(const BadAnswerTests &tests, RolloutFinding::Kind kind,
                            const framework::RouteId &route, double ordinary)
{
    if (!m_finding && tests.areConclusive()) {
        m_finding = RolloutFinding{kind, route, tests.answers(), tests.bad(), ordinary};
    }
}

} // namespace lavendertally::rollout
