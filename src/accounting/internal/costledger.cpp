#include "accounting/internal/costledger.h"

#include "framework/imetrics.h"

#include <algorithm>
#include <string>

namespace lavendertally::accounting {

using framework::MicroCost;
using framework::PipelineId;
using framework::ServiceId;
using framework::StageId;
using framework::TeamId;

namespace {

constexpr std::int64_t MillisecondsPerHour = 3'600'000;
/// Resolution of fractional costs.
constexpr std::int64_t UnitsPerMicroCost = 1000;
constexpr const char *OverflowAccount = "other";

/// \return share of the backend server's price that the attempt used, in thousandths of a MicroCost
std::int64_t fractionalCost(const StageAttempt &attempt)
{
    const std::int64_t slots = std::max<std::uint32_t>(1, attempt.concurrency);
    const std::int64_t time = std::max<std::int64_t>(0, attempt.serviceTime.value());
    const std::int64_t divisor = MillisecondsPerHour * slots;
    const std::int64_t price = attempt.costPerHour.value() * UnitsPerMicroCost;
    // Multiplying quotient and remainder separately keeps price times time within range.
    return price / divisor * time + price % divisor * time / divisor;
}

const char *nameOf(Usage usage)
{
    switch (usage) {
    case Usage::Used:
        return "used";
    case Usage::Cancelled:
        return "cancelled";
    case Usage::Late:
        return "late";
    case Usage::Failed:
        break;
    }
    return "failed";
}

void addToAccount(CostAccount &account, const StageAttempt &attempt, MicroCost cost)
{
    account.cost += cost;
    account.serviceTime += attempt.serviceTime;
    ++account.attempts;
    switch (attempt.usage) {
    case Usage::Used:
        break;
    case Usage::Cancelled:
        account.cancelled += cost;
        break;
    case Usage::Late:
        account.late += cost;
        break;
    case Usage::Failed:
        account.failed += cost;
        break;
    }
}

} // namespace

CostLedger::CostLedger(framework::IMetrics &metrics, std::size_t maxAccounts)
    : m_metrics(metrics),
      m_stages(maxAccounts, {PipelineId(OverflowAccount), StageId(OverflowAccount)}),
      m_teams(maxAccounts, TeamId(OverflowAccount)),
      m_services(maxAccounts, ServiceId(OverflowAccount))
{ }

MicroCost CostLedger::record(const StageAttempt &attempt)
{
    // Cheap attempts would each round down to zero, so the fraction is carried over to the next.
    m_remainder += fractionalCost(attempt);
    const MicroCost cost(m_remainder / UnitsPerMicroCost);
    m_remainder %= UnitsPerMicroCost;
    const StageAccountId stage = m_stages.idFor({attempt.pipeline, attempt.stage});
    const TeamId team = m_teams.idFor(attempt.team);
    addToAccount(m_stages.at(stage), attempt, cost);
    addToAccount(m_teams.at(team), attempt, cost);
    addToAccount(m_services.at(m_services.idFor(attempt.service)), attempt, cost);
    addToAccount(m_total, attempt, cost);
    count(stage, team, attempt, cost);
    return cost;
}

CostSnapshot CostLedger::snapshot() const
{
    return {m_stages.all(), m_teams.all(), m_services.all(), m_total};
}

void CostLedger::count(const StageAccountId &stage, const TeamId &team, const StageAttempt &attempt,
                       MicroCost cost)
{
    const std::string usage = nameOf(attempt.usage);
    m_metrics.increment(
        "stage_cost_micros_total",
        {{"pipeline", stage.pipeline.value()}, {"stage", stage.stage.value()}, {"usage", usage}},
        cost.value());
    m_metrics.increment("team_cost_micros_total", {{"team", team.value()}, {"usage", usage}},
                        cost.value());
}

} // namespace lavendertally::accounting
