#include "accounting/accountingmodule.h"
#include "accounting/icostledger.h"
#include "framework/frameworkmodule.h"
#include "framework/imetrics.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

using namespace lavendertally::accounting;
using namespace lavendertally::framework;

namespace {

/// \return attempt that occupies one of 4 slots for 3.6 s, at a price of 8 per hour; it costs 2000
/// millionths
StageAttempt makeAttempt(const std::string &team, Usage usage)
{
    StageAttempt attempt;
    attempt.pipeline = PipelineId("balance");
    attempt.stage = StageId("encode");
    attempt.team = TeamId(team);
    attempt.service = ServiceId("encoder");
    attempt.serviceTime = Milliseconds(3'600);
    attempt.costPerHour = MicroCost(8'000'000);
    attempt.concurrency = 4;
    attempt.usage = usage;
    return attempt;
}

class CostLedgerTest : public testing::Test
{
protected:
    std::unique_ptr<IMetrics> m_metrics = FrameworkModule::makeMetrics();
    std::unique_ptr<ICostLedger> m_ledger = AccountingModule::makeLedger(*m_metrics, 3);
};

} // namespace

TEST_F(CostLedgerTest, AttemptRecorded_CostsItsShareOfSlotAndTime)
{
    EXPECT_EQ(m_ledger->record(makeAttempt("a", Usage::Used)), MicroCost(2000));
    StageAttempt day = makeAttempt("a", Usage::Used);
    day.serviceTime = Milliseconds(86'400'000);
    day.costPerHour = MicroCost(1'000'000'000'000);
    day.concurrency = 1;
    EXPECT_EQ(m_ledger->record(day), MicroCost(24'000'000'000'000));
    StageAttempt odd = makeAttempt("a", Usage::Used);
    odd.concurrency = 0;
    odd.serviceTime = Milliseconds(-5);
    EXPECT_EQ(m_ledger->record(odd), MicroCost(0));
}

TEST_F(CostLedgerTest, ManyCheapAttempts_RoundingLosesNoCost)
{
    StageAttempt cheap = makeAttempt("a", Usage::Used);
    cheap.serviceTime = Milliseconds(1);
    cheap.costPerHour = MicroCost(3'600'000);
    cheap.concurrency = 10;
    for (int number = 0; number < 100'000; ++number) {
        m_ledger->record(cheap);
    }
    EXPECT_EQ(m_ledger->snapshot().total.cost, MicroCost(10'000));
}

TEST_F(CostLedgerTest, AttemptsWasted_CostIsSplitByCause)
{
    for (const Usage usage :
         {Usage::Used, Usage::Cancelled, Usage::Late, Usage::Late, Usage::Failed}) {
        m_ledger->record(makeAttempt("a", usage));
    }
    const CostSnapshot snapshot = m_ledger->snapshot();
    EXPECT_EQ(snapshot.total.cost, MicroCost(10'000));
    EXPECT_EQ(snapshot.total.cancelled, MicroCost(2'000));
    EXPECT_EQ(snapshot.total.late, MicroCost(4'000));
    EXPECT_EQ(snapshot.total.failed, MicroCost(2'000));
    EXPECT_EQ(snapshot.total.wasted(), MicroCost(8'000));
    EXPECT_EQ(snapshot.total.attempts, 5U);
    EXPECT_EQ(snapshot.stages.at({PipelineId("balance"), StageId("encode")}), snapshot.total);
    EXPECT_EQ(snapshot.teams.at(TeamId("a")), snapshot.total);
    EXPECT_EQ(snapshot.services.at(ServiceId("encoder")), snapshot.total);
    const std::string text = m_metrics->prometheusText();
    EXPECT_NE(text.find("stage_cost_micros_total{pipeline=\"balance\",stage=\"encode\","
                        "usage=\"late\"} 4000"),
              std::string::npos)
        << text;
}

TEST_F(CostLedgerTest, MoreTeamsThanAccounts_RestSharesOneAccountAndTotalsMatch)
{
    constexpr int Teams = 8'100;
    for (int number = 0; number < Teams; ++number) {
        m_ledger->record(makeAttempt(std::to_string(number), Usage::Used));
    }
    m_ledger->record(makeAttempt("1", Usage::Used));
    const CostSnapshot snapshot = m_ledger->snapshot();
    EXPECT_EQ(snapshot.teams.size(), 4U);
    EXPECT_EQ(snapshot.teams.at(TeamId("1")).attempts, 2U);
    EXPECT_EQ(snapshot.teams.at(TeamId("other")).attempts, Teams - 3U);
    MicroCost sum;
    for (const auto &[team, account] : snapshot.teams) {
        sum += account.cost;
    }
    EXPECT_EQ(sum, snapshot.total.cost);
    EXPECT_EQ(m_metrics->prometheusText().find("team=\"8000\""), std::string::npos);
}
