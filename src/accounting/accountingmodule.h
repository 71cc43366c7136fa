#pragma once

#include <cstddef>
#include <memory>

namespace lavendertally::framework {
class IMetrics;
}

namespace lavendertally::accounting {

class ICostLedger;

/// Factory of cost ledgers.
class AccountingModule
{
public:
    /// Individual accounts of each kind in one ledger; ids that come later share the account
    /// `other`.
    static constexpr std::size_t DefaultMaxAccounts = 512;

    /// \param metrics receives the cost counters; must outlive the ledger
    /// \param maxAccounts maximum number of stages, of teams and of services with accounts of
    /// their own; it bounds memory and metric labels
    /// \return empty ledger
    static std::unique_ptr<ICostLedger> makeLedger(framework::IMetrics &metrics,
                                                   std::size_t maxAccounts = DefaultMaxAccounts);
};

} // namespace lavendertally::accounting
