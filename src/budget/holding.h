#pragma once

#include "budget/iresourcebudget.h"
#include "budget/types/clientaddress.h"
#include "budget/types/use.h"
#include "framework/types/units.h"

#include <memory>
#include <utility>

namespace lavendertally::budget {

/// Memory that one holder has drawn from a budget. It is given back with this object.
class Holding
{
public:
    /// \param client connection that the holder belongs to; only compared, null if there is none
    Holding(std::shared_ptr<IResourceBudget> budget, Use use, ClientAddress address,
            const IBudgetClient *client)
        : m_budget(std::move(budget)), m_use(use), m_address(address), m_client(client)
    { }
    ~Holding() { release(); }
    Holding(const Holding &) = delete;
    Holding &operator=(const Holding &) = delete;

    /// Changes what is held.
    /// \return false if it has to be refused; it holds no more than before then, and nothing if its
    /// connection had to give way
    bool draw(framework::Bytes size)
    {
        if (size > m_size) {
            const bool isNewExchange = m_use == Use::Exchanges && m_size == framework::Bytes(0);
            if (!m_budget->makeRoom(size - m_size, isNewExchange, m_client)) {
                return false;
            }
        }
        force(size);
        return true;
    }
    /// Changes what is held by a holder that cannot be refused any more.
    void force(framework::Bytes size)
    {
        if (size != m_size) {
            m_budget->change(m_use, m_address, m_size, size);
            m_size = size;
        }
    }
    void release() { force(framework::Bytes(0)); }
    framework::Bytes size() const { return m_size; }

private:
    std::shared_ptr<IResourceBudget> m_budget;
    Use m_use;
    ClientAddress m_address;
    const IBudgetClient *m_client;
    framework::Bytes m_size;
};

} // namespace lavendertally::budget
