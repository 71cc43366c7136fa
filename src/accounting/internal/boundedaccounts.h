#pragma once

#include "accounting/types/costaccount.h"

#include <cstddef>
#include <map>
#include <utility>

namespace lavendertally::accounting {

/// Accounts by id. Once the maximum number of ids has an account, all further ids share one.
/// \tparam Id id type of an account
template <typename Id>
class BoundedAccounts
{
public:
    /// \param max maximum number of individual accounts
    /// \param other id of the account shared by all further ids
    BoundedAccounts(std::size_t max, Id other) : m_max(max), m_other(std::move(other)) { }

    /// \return \p id if it has or may open an account of its own, otherwise the id of the shared
    /// account
    const Id &idFor(const Id &id)
    {
        const bool isBelowLimit = m_accounts.size() < m_max;
        return isBelowLimit || m_accounts.contains(id) ? id : m_other;
    }
    /// \return account of \p id, which is opened if necessary
    CostAccount &at(const Id &id) { return m_accounts[id]; }

    const std::map<Id, CostAccount> &all() const { return m_accounts; }

private:
    std::size_t m_max;
    Id m_other;
    std::map<Id, CostAccount> m_accounts;
};

} // namespace lavendertally::accounting
