#pragma once

#include <cstddef>
#include <memory>

namespace lavendertally::framework {
class IMetrics;
}

namespace lavendertally::accounting {

class ICostLedger;

/// Makes cost ledgers.
class AccountingModule
{
public:
    /// Accounts kept apart by one ledger; those that come later share the account `other`.
    static constexpr std::size_t DefaultMaxAccounts = 512;

    /// \param metrics outlives the ledger
    /// \param maxAccounts greatest number of teams, and of stages, that are kept apart
    static std::unique_ptr<ICostLedger> makeLedger(framework::IMetrics &metrics,
                                                   std::size_t maxAccounts = DefaultMaxAccounts);
};

} // namespace lavendertally::accounting
