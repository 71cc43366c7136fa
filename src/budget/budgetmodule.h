#pragma once

#include "budget/types/budgetlimits.h"
#include "budget/types/processparts.h"

#include <cstdint>
#include <memory>

namespace lavendertally::framework {
class IClock;
} // namespace lavendertally::framework

namespace lavendertally::budget {

class IResourceBudget;

/// Makes budgets and divides what a process may use.
class BudgetModule
{
public:
    /// \param clock outlives the budget
    static std::shared_ptr<IResourceBudget> makeBudget(const BudgetLimits &limits,
                                                       const framework::IClock &clock);
    /// \param memory what the process may use as a whole
    /// \param descriptors what the process may have open
    static ProcessParts divide(framework::Bytes memory, std::uint32_t descriptors);
};

} // namespace lavendertally::budget
