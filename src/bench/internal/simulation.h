#pragma once

#include "bench/internal/arrivals.h"
#include "bench/internal/benchentry.h"
#include "bench/internal/decisions.h"
#include "bench/internal/outcome.h"
#include "bench/internal/runresult.h"
#include "bench/internal/scenario.h"
#include "bench/internal/site.h"
#include "bench/internal/timeline.h"
#include "framework/irandom.h"
#include "routing/testing/fakemembership.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace lavendertally::bench {

/// Runs one scenario with recorded arrivals.
class Simulation
{
public:
    Simulation(const Site &site, const Scenario &scenario, Variant variant, std::uint64_t seed);
    ~Simulation();

    RunResult run(const std::vector<Arrival> &arrivals);

private:
    void makeBackends(Variant variant);
    void makeEntries(Variant variant);
    Decisions makeDecisions(Variant variant, const routing::FakeMembership &membership,
                            const framework::HostId &self);
    void scheduleZoneOutage(RunResult &result);
    void scheduleSlowness();
    void setZoneOut(bool out);
    void watchZoneOut(RunResult &result);
    void watchZoneIn(RunResult &result);
    std::vector<FakeBackend *> zoneBackends() const;

    const Site &m_site;
    const Scenario &m_scenario;
    Timeline m_timeline;
    std::unique_ptr<framework::IRandom> m_random;
    BenchEntry::Backends m_backends;
    std::vector<std::unique_ptr<routing::FakeMembership>> m_memberships;
    std::vector<std::unique_ptr<BenchEntry>> m_entries;
    std::vector<Outcome> m_outcomes;
    framework::TimePoint m_lastZoneStart;
};

} // namespace lavendertally::bench
