#pragma once

#include "budget/types/budgetusage.h"
#include "framework/types/timepoint.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>

namespace lavendertally::framework {
class IClock;
class ILogger;
class IMetrics;
} // namespace lavendertally::framework

namespace lavendertally::budget {

class IResourceBudget;

/// Exports what a budget counts as metrics, and logs refusals with a bound on the number of lines.
class BudgetReporter
{
public:
    /// \param listener name of the listener whose clients the budget bears
    BudgetReporter(std::shared_ptr<const IResourceBudget> budget, std::string listener,
                   const framework::IClock &clock, framework::ILogger &logger,
                   framework::IMetrics &metrics);
    ~BudgetReporter();
    BudgetReporter(const BudgetReporter &) = delete;
    BudgetReporter &operator=(const BudgetReporter &) = delete;

    /// Called a few times a second.
    void report();

private:
    void logRefusals(const BudgetUsage &usage);

    std::shared_ptr<const IResourceBudget> m_budget;
    std::string m_listener;
    const framework::IClock &m_clock;
    framework::ILogger &m_logger;
    framework::IMetrics &m_metrics;
    std::array<std::uint64_t, CauseCount> m_exported{};
    std::array<std::uint64_t, CauseCount> m_logged{};
    framework::TimePoint m_nextLog;
};

} // namespace lavendertally::budget
