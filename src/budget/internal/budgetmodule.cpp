#include "budget/budgetmodule.h"

#include "budget/internal/resourcebudget.h"

#include <algorithm>

namespace lavendertally::budget {

namespace {

/// Descriptors for files, which the platform reserves on its machines; a quarter where there are
/// few.
constexpr std::uint32_t FileDescriptors = 200;

/// Readiness checks and scrapes of metrics come from a few programs.
constexpr BudgetLimits OperatorLimits{framework::Bytes(2 * 1024 * 1024), 16, 16};

} // namespace

std::shared_ptr<IResourceBudget> BudgetModule::makeBudget(const BudgetLimits &limits,
                                                          const framework::IClock &clock)
{
    return std::make_shared<ResourceBudget>(limits, clock);
}

ProcessParts BudgetModule::divide(framework::Bytes memory, std::uint32_t descriptors)
{
    const std::uint32_t sockets = descriptors - std::min(FileDescriptors, descriptors / 4);
    ProcessParts parts;
    // The allocator keeps up to as much again of what large bodies have given back.
    parts.clients.memory = framework::Bytes(memory.value() * 2 / 5);
    parts.clients.connections = sockets / 2;
    parts.clients.exchanges = sockets / 4;
    parts.operators = OperatorLimits;
    parts.idleConnections = sockets / 16;
    parts.unnamedLinks = sockets / 32;
    return parts;
}

} // namespace lavendertally::budget
