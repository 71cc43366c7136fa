#include "budget/budgetreporter.h"

#include "budget/iresourcebudget.h"
#include "framework/iclock.h"
#include "framework/ilogger.h"
#include "framework/imetrics.h"

#include <utility>

namespace lavendertally::budget {

namespace {

constexpr std::array<const char *, UseCount> UseNames{"connections", "input", "bodies", "exchanges",
                                                      "answers"};
constexpr std::array<const char *, CauseCount> CauseNames{"memory", "descriptors", "exchanges"};

/// Refusals come in thousands while clients cause an overload.
constexpr framework::Milliseconds LogInterval{10000};

} // namespace

BudgetReporter::BudgetReporter(std::shared_ptr<const IResourceBudget> budget, std::string listener,
                               const framework::IClock &clock, framework::ILogger &logger,
                               framework::IMetrics &metrics)
    : m_budget(std::move(budget)), m_listener(std::move(listener)), m_clock(clock),
      m_logger(logger), m_metrics(metrics)
{ }

BudgetReporter::~BudgetReporter() = default;

void BudgetReporter::report()
{
    const BudgetUsage usage = m_budget->usage();
    for (std::size_t use = 0; use < UseCount; ++use) {
        m_metrics.setGauge("lavendertally_budget_bytes",
                           {{"listener", m_listener}, {"use", UseNames[use]}},
                           usage.memoryByUse[use].value());
    }
    m_metrics.setGauge("lavendertally_budget_connections", {{"listener", m_listener}},
                       usage.connections);
    m_metrics.setGauge("lavendertally_budget_exchanges", {{"listener", m_listener}},
                       usage.exchanges);
    for (std::size_t cause = 0; cause < CauseCount; ++cause) {
        const std::uint64_t before = std::exchange(m_exported[cause], usage.refusals[cause]);
        if (usage.refusals[cause] > before) {
            m_metrics.increment("lavendertally_budget_refusals_total",
                                {{"listener", m_listener}, {"cause", CauseNames[cause]}},
                                static_cast<std::int64_t>(usage.refusals[cause] - before));
        }
    }
    logRefusals(usage);
}

void BudgetReporter::logRefusals(const BudgetUsage &usage)
{
    const framework::TimePoint now = m_clock.now();
    if (usage.refusals == m_logged || now < m_nextLog) {
        return;
    }
    m_nextLog = now + LogInterval;
    std::array<std::uint64_t, CauseCount> since{};
    for (std::size_t cause = 0; cause < CauseCount; ++cause) {
        since[cause] = usage.refusals[cause] - m_logged[cause];
    }
    m_logged = usage.refusals;
    m_logger.warning("clients use up the budget; some were refused or closed",
                     {{"listener", m_listener},
                      {"for_memory", std::to_string(since[0])},
                      {"for_descriptors", std::to_string(since[1])},
                      {"for_exchanges", std::to_string(since[2])},
                      {"bytes", std::to_string(usage.memory.value())},
                      {"connections", std::to_string(usage.connections)},
                      {"exchanges", std::to_string(usage.exchanges)}});
}

} // namespace lavendertally::budget
