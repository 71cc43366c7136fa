#include "accounting/accountingmodule.h"

#include "accounting/internal/costledger.h"

namespace lavendertally::accounting {

std::unique_ptr<ICostLedger> AccountingModule::makeLedger(framework::IMetrics &metrics,
                                                          std::size_t maxAccounts)
{
    return std::make_unique<CostLedger>(metrics, maxAccounts);
}

} // namespace lavendertally::accounting
