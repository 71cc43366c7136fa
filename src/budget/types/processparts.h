#pragma once

#include "budget/types/budgetlimits.h"

#include <cstddef>

namespace lavendertally::budget {

/// How the memory and the descriptors of a process are divided. What is not named here remains for
/// the process itself, its files, its links to other daemons and to the store, and stage jobs.
struct ProcessParts
{
    /// Callers, whom the operator does not control.
    BudgetLimits clients;
    /// Readiness checks, or metrics: clients of one of the operator's own listeners.
    BudgetLimits operators;
    /// Idle connections to backend servers that are kept for reuse.
    std::size_t idleConnections = 0;
    /// Connections of other daemons that have not said who they are.
    std::size_t unnamedLinks = 0;
};

} // namespace lavendertally::budget
