#pragma once

#include "accounting/types/costaccount.h"

#include <cstddef>
#include <map>
#include <utility>

namespace lavendertally::accounting {

/// Accounts by id, of which only a number is kept apart.
/// \tparam Id id of an account
template <typename Id>
class BoundedAccounts
{
public:
    /// \param max greatest number of accounts kept apart
    /// \param other id of the account that the rest share
    BoundedAccounts(std::size_t max, Id other) : m_max(max), m_other(std::move(other)) { }

    /// \return \p id if it has an account of its own, or else the id of the shared one
    const Id &admit(const Id &id)
    {
        const bool hasRoom = m_accounts.size() < m_max;
        return hasRoom || m_accounts.contains(id) ? id : m_other;
    }
    CostAccount &at(const Id &id) { return m_accounts[id]; }

    const std::map<Id, CostAccount> &all() const { return m_accounts; }

private:
    std::size_t m_max;
    Id m_other;
    std::map<Id, CostAccount> m_accounts;
};

} // namespace lavendertally::accounting
