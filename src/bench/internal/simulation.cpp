#include "bench/internal/simulation.h"

#include "admission/admissionmodule.h"
#include "admission/types/admissionlimits.h"
#include "admission/types/admissionpolicy.h"
#include "framework/frameworkmodule.h"
#include "retry/iretrypolicy.h"
#include "retry/istagebudget.h"
#include "retry/retrymodule.h"
#include "routing/routingmodule.h"

#include <algorithm>
#include <utility>

namespace lavendertally::bench {

namespace {

using framework::Milliseconds;

constexpr std::uint32_t ZoneCount = 4;
/// Time until host processes and entries know of an operator's change.
constexpr Milliseconds HostLag{200};
constexpr Milliseconds EntryLag{400};
constexpr Milliseconds WatchInterval{100};
constexpr Milliseconds LongestRequest{60000};
/// Part of its share of the running work at which a zone counts as fully used.
constexpr double FullUse = 0.8;

std::string zoneName(std::uint32_t index)
{
    return "z" + std::to_string(index % ZoneCount);
}

std::unique_ptr<admission::IAdmissionController>
makeController(const configuration::Service &service, Variant variant)
{
    admission::AdmissionLimits limits;
    limits.concurrency = service.concurrency;
    limits.coldConcurrency = service.coldConcurrency;
    limits.queueLength = service.queueLength;
    return variant == Variant::Naive
        ? admission::AdmissionModule::makeNaiveController(limits)
        : admission::AdmissionModule::makeController(limits, admission::AdmissionPolicy());
}

} // namespace

Simulation::Simulation(const Site &site, const Scenario &scenario, Variant variant,
                       std::uint64_t seed)
    : m_site(site), m_scenario(scenario), m_random(framework::FrameworkModule::makeRandom(seed))
{
    makeBackends(variant);
    makeEntries(variant);
}

Simulation::~Simulation() = default;

void Simulation::makeBackends(Variant variant)
{
    std::uint32_t placed = 0;
    for (const auto &[service, count] : m_site.workers) {
        const configuration::Service &plan = m_site.configuration.services.at(service);
        for (std::uint32_t index = 0; index < count; ++index) {
            membership::HostEntry host;
            host.id = framework::HostId(service.value() + "-" + std::to_string(index));
            host.zone = framework::AvailabilityZoneId(zoneName(placed++));
            host.service = service;
            m_backends[host.id] = std::make_unique<FakeBackend>(m_timeline, host, plan,
                                                                makeController(plan, variant));
            if (variant == Variant::Naive) {
                m_backends[host.id]->warmUp();
            }
        }
    }
}

void Simulation::makeEntries(Variant variant)
{
    for (std::uint32_t index = 0; index < m_site.entries; ++index) {
        auto membership = std::make_unique<routing::FakeMembership>();
        for (const auto &[id, backend] : m_backends) {
            membership->addBackendHost(backend->host().service, id.value(),
                                       backend->host().zone.value());
        }
        for (std::uint32_t entry = 0; entry < m_site.entries; ++entry) {
            membership->addEntry("e" + std::to_string(entry), zoneName(entry));
        }
        const std::string name = "e" + std::to_string(index);
        m_entries.push_back(std::make_unique<BenchEntry>(
            m_timeline, m_site, framework::DaemonId(name),
            framework::AvailabilityZoneId(zoneName(index)), m_backends,
            makeDecisions(variant, *membership, framework::HostId(name)), m_outcomes));
        m_memberships.push_back(std::move(membership));
    }
}

Decisions Simulation::makeDecisions(Variant variant, const routing::FakeMembership &membership,
                                    const framework::HostId &self)
{
    Decisions decisions;
    decisions.cancelsLate = variant == Variant::Policy;
    if (variant == Variant::Naive) {
        decisions.routing.selector =
            routing::RoutingModule::makeRandomSelector(membership, *m_random);
        decisions.retry = retry::RetryModule::makeUnlimitedRetryPolicy();
        decisions.budget = retry::RetryModule::makeUndividedStageBudget();
        return decisions;
    }
    decisions.routing = routing::RoutingModule::makeRouting(membership, *m_random, self);
    decisions.retry = retry::RetryModule::makeBudgetedRetryPolicy(*m_random);
    decisions.budget = variant == Variant::Policy ? retry::RetryModule::makeStageBudget()
                                                  : retry::RetryModule::makeUndividedStageBudget();
    return decisions;
}

RunResult Simulation::run(const std::vector<Arrival> &arrivals)
{
    RunResult result;
    for (std::size_t index = 0; index < arrivals.size(); ++index) {
        m_timeline.at(arrivals[index].time, [this, &arrivals, index] {
            m_entries[arrivals[index].entry]->serve(index, arrivals[index]);
        });
    }
    scheduleZoneOutage(result);
    scheduleSlowness();
    m_timeline.runUntil(m_scenario.measured.end + LongestRequest);
    result.outcomes = std::move(m_outcomes);
    for (const auto &entry : m_entries) {
        result.freshCalls += entry->freshCalls();
        result.retries += entry->retries();
    }
    for (const auto &[id, backend] : m_backends) {
        result.coldOverloads += backend->fallCount();
    }
    return result;
}

void Simulation::scheduleZoneOutage(RunResult &result)
{
    if (!m_scenario.zoneOut) {
        return;
    }
    m_timeline.at(m_scenario.disturbance.start, [this, &result] {
        setZoneOut(true);
        watchZoneOut(result);
    });
    m_timeline.at(m_scenario.disturbance.end, [this, &result] {
        for (FakeBackend *backend : zoneBackends()) {
            backend->restart();
        }
        setZoneOut(false);
        watchZoneIn(result);
    });
}

void Simulation::scheduleSlowness()
{
    constexpr std::int64_t SlowFactor = 10;
    if (!m_scenario.slowService) {
        return;
    }
    const auto setAll = [this](std::int64_t factor) {
        for (const auto &[id, backend] : m_backends) {
            if (backend->host().service == *m_scenario.slowService) {
                backend->setSlowness(factor);
            }
        }
    };
    m_timeline.at(m_scenario.disturbance.start, [setAll] { setAll(SlowFactor); });
    m_timeline.at(m_scenario.disturbance.end, [setAll] { setAll(1); });
}

void Simulation::setZoneOut(bool out)
{
    const auto reason = out ? protocol::RefusalReason::ZoneOut : protocol::RefusalReason::None;
    m_timeline.after(HostLag, [this, reason] {
        for (FakeBackend *backend : zoneBackends()) {
            backend->close(reason);
        }
    });
    m_timeline.after(EntryLag, [this, out] {
        for (const auto &membership : m_memberships) {
            for (const FakeBackend *backend : zoneBackends()) {
                membership->setAdmitting(backend->host().id, !out);
            }
        }
    });
}

void Simulation::watchZoneOut(RunResult &result)
{
    m_timeline.at(m_scenario.disturbance.end - Milliseconds(1), [this, &result] {
        framework::TimePoint last = m_scenario.disturbance.start;
        for (const FakeBackend *backend : zoneBackends()) {
            last = std::max(last, backend->lastStart());
        }
        result.zoneOutTime = last - m_scenario.disturbance.start;
    });
}

void Simulation::watchZoneIn(RunResult &result)
{
    double zoneRunning = 0.0;
    double allRunning = 0.0;
    double zonePlaces = 0.0;
    double allPlaces = 0.0;
    for (const auto &[id, backend] : m_backends) {
        const bool inZone = backend->host().zone == *m_scenario.zoneOut;
        const double places = m_site.configuration.services.at(backend->host().service).concurrency;
        allRunning += static_cast<double>(backend->running());
        zoneRunning += inZone ? static_cast<double>(backend->running()) : 0.0;
        allPlaces += places;
        zonePlaces += inZone ? places : 0.0;
    }
    if (zoneRunning * allPlaces >= FullUse * allRunning * zonePlaces) {
        result.zoneInTime = m_timeline.now() - m_scenario.disturbance.end;
        return;
    }
    m_timeline.after(WatchInterval, [this, &result] { watchZoneIn(result); });
}

std::vector<FakeBackend *> Simulation::zoneBackends() const
{
    std::vector<FakeBackend *> backends;
    for (const auto &[id, backend] : m_backends) {
        if (backend->host().zone == m_scenario.zoneOut) {
            backends.push_back(backend.get());
        }
    }
    return backends;
}

} // namespace lavendertally::bench
