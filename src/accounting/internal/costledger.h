#pragma once

#include "accounting/icostledger.h"
#include "accounting/internal/boundedaccounts.h"

#include <cstddef>
#include <cstdint>

namespace lavendertally::framework {
class IMetrics;
}

namespace lavendertally::accounting {

/// In-memory ledger that also updates the cost metrics.
class CostLedger final : public ICostLedger
{
public:
    CostLedger(framework::IMetrics &metrics, std::size_t maxAccounts);

    framework::MicroCost record(const StageAttempt &attempt) override;
    CostSnapshot snapshot() const override;

private:
    /// Adds the cost to the metrics.
    void count(const StageAccountId &stage, const framework::TeamId &team,
               const StageAttempt &attempt, framework::MicroCost cost);

    framework::IMetrics &m_metrics;
    BoundedAccounts<StageAccountId> m_stages;
    BoundedAccounts<framework::TeamId> m_teams;
    BoundedAccounts<framework::ServiceId> m_services;
    CostAccount m_total;
    /// Thousandths of a MicroCost not yet assigned to any account.
    std::int64_t m_remainder = 0;
};

} // namespace lavendertally::accounting
