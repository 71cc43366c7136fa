#pragma once

#include "budget/types/budgetusage.h"
#include "budget/types/clientaddress.h"
#include "budget/types/use.h"
#include "framework/types/timepoint.h"
#include "framework/types/units.h"

namespace lavendertally::budget {

class IBudgetClient;

/// Counts what the clients of a listener use, and has the least deserving give way when the limits
/// are reached. Holders draw before they keep something and give back when they end; see Holding.
class IResourceBudget
{
public:
    virtual ~IResourceBudget() = default;

    /// Adds a connection; another one may have to give way.
    /// \param client stays valid until remove()
    /// \return false if no descriptor is left for it; it is not added then
    virtual bool admit(IBudgetClient &client) = 0;
    virtual void remove(IBudgetClient &client) = 0;

    /// Makes room for a holder that wants to keep more; others may have to give way.
    /// \param more bytes on top of what it holds
    /// \param isNewExchange whether a request is to be handled that was not before
    /// \param holder connection that it belongs to, which may be the one that gave way
    /// \return whether there is room; otherwise the holder has to be refused
    virtual bool makeRoom(framework::Bytes more, bool isNewExchange,
                          const IBudgetClient *holder) = 0;
    /// Changes the memory of one holder, whether or not there is room.
    virtual void change(Use use, ClientAddress address, framework::Bytes from,
                        framework::Bytes to) = 0;

    /// \return the time that standings are given for
    virtual framework::TimePoint now() const = 0;
    /// \return whether holders that could not be refused hold more than the limit
    virtual bool isExceeded() const = 0;
    virtual BudgetUsage usage() const = 0;
};

} // namespace lavendertally::budget
